package io.parsleycleat.core.request.queue;

import java.time.Duration;
import java.util.Objects;

/**
 * How a queue behaves. Immutable and safe to share.
 *
 * @param maxRunning runs that may run at once, the batch size of a model engine
 * @param maxWaiting runs that may wait
 * @param freeRunningShare part of the running places that the free tier may take while paying runs wait
 * @param freeWaitingShare part of the waiting places that the free tier may take
 * @param payingReserve running places that the free tier never takes
 * @param quantumTokens tokens that an account of weight 1 may start in each round
 * @param initialRunTime expected time of a run before one has ended
 */
public record QueueSettings(
        QueuePolicy policy,
        int maxRunning,
        int maxWaiting,
        double freeRunningShare,
        double freeWaitingShare,
        int payingReserve,
        int quantumTokens,
        Duration initialRunTime) {
    /** The settings that apply unless others are given. */
    public static final QueueSettings DEFAULT =
            new QueueSettings(QueuePolicy.FAIR, 16, 256, 0.25, 0.25, 2, 512, Duration.ofSeconds(1));

    public QueueSettings {
        Objects.requireNonNull(policy, "policy");
        Objects.requireNonNull(initialRunTime, "initialRunTime");
        if (maxRunning < 1 || maxWaiting < 0 || quantumTokens < 1 || payingReserve < 0) {
            throw new IllegalArgumentException("bounds must be positive");
        }
        if (freeRunningShare < 0 || freeRunningShare > 1 || freeWaitingShare < 0 || freeWaitingShare > 1) {
            throw new IllegalArgumentException("shares must lie between 0 and 1");
        }
    }

    /** Returns a copy with another policy. */
    public QueueSettings withPolicy(QueuePolicy newPolicy) {
        return new QueueSettings(
                newPolicy,
                maxRunning,
                maxWaiting,
                freeRunningShare,
                freeWaitingShare,
                payingReserve,
                quantumTokens,
                initialRunTime);
    }

    /** Returns a copy with other bounds. */
    public QueueSettings withBounds(int newMaxRunning, int newMaxWaiting) {
        return new QueueSettings(
                policy,
                newMaxRunning,
                newMaxWaiting,
                freeRunningShare,
                freeWaitingShare,
                payingReserve,
                quantumTokens,
                initialRunTime);
    }

    /** Returns how many places the free tier may take, at least one. */
    int freeRunningLimit(boolean payingWaits) {
        int limit = payingWaits ? (int) (maxRunning * freeRunningShare) : maxRunning - payingReserve;
        return Math.max(1, limit);
    }

    int freeWaitingLimit() {
        return (int) (maxWaiting * freeWaitingShare);
    }
}
