package io.parsleycleat.gateway.request.forward;

import io.netty.util.concurrent.ScheduledFuture;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.routes.Route;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Checks from time to time whether the upstream of a request has been silent for so long that a second one is asked. A
 * sound upstream may be silent for about a second, so silence alone ends nothing.
 *
 * <p>Created by {@link Forwarding} for each request; used on the event loop.
 */
final class SilenceCheck {
    /** The shortest time between two checks, since each check wakes the process. */
    private static final Duration MIN_CHECK_INTERVAL = Duration.ofMillis(100);
    /** Time between two searches for a second upstream, each of which may ask several sides. */
    private static final Duration HEDGE_INTERVAL = Duration.ofMillis(400);
    /** Time without bytes on any connection of an upstream after which a second one is asked for a resumable stream. */
    private static final Duration MAX_UPSTREAM_SILENCE = Duration.ofMillis(800);
    /** Time without a head after which a second upstream is asked for an idempotent request, in route objectives. */
    private static final double HEAD_TIMEOUT_OBJECTIVES = 1.3;

    private final ForwardingContext context;
    private final Route route;
    private final Runnable check;
    private @Nullable ScheduledFuture<?> timer;

    /**
     * Creates a check that is not scheduled yet.
     *
     * @param check called at each check; schedules the next one
     */
    SilenceCheck(ForwardingContext context, Route route, Runnable check) {
        this.context = context;
        this.route = route;
        this.check = check;
    }

    /** Schedules the first check after the first send of a request that may be repeated. */
    void onSent(Attempt attempt) {
        if (timer == null && route.isRetryable()) {
            scheduleNext(attempt);
        }
    }

    /** Schedules the next check for the time at which an attempt will be late, or later if it is late already. */
    void scheduleNext(@Nullable Attempt attempt) {
        Duration left = attempt == null ? Duration.ZERO : timeUntilLate(attempt);
        Duration wait = left.isNegative() || left.isZero() ? HEDGE_INTERVAL : left;
        long millis = Math.max(MIN_CHECK_INTERVAL.toMillis(), wait.toMillis() + 1);
        timer = context.loop().schedule(check, millis, TimeUnit.MILLISECONDS);
    }

    void cancel() {
        ScheduledFuture<?> current = timer;
        if (current != null) {
            current.cancel(false);
        }
    }

    /** Returns whether an attempt has had no answer for so long that a second upstream is asked. */
    boolean isLate(Attempt attempt) {
        boolean hasAnswered = route.kind() != RequestKind.STREAM && attempt.hasHead();
        Duration left = timeUntilLate(attempt);
        return !attempt.isFinished() && !hasAnswered && (left.isNegative() || left.isZero());
    }

    /** Returns the time until an attempt is late if nothing more arrives; zero or negative if it is late. */
    private Duration timeUntilLate(Attempt attempt) {
        if (route.kind() == RequestKind.STREAM) {
            Duration silence = attempt.load().timeSinceLastBytes();
            return MAX_UPSTREAM_SILENCE.minus(silence.compareTo(attempt.age()) < 0 ? silence : attempt.age());
        }
        long limitMillis =
                (long) (HEAD_TIMEOUT_OBJECTIVES * route.latencyObjective().toMillis());
        return Duration.ofMillis(limitMillis).minus(attempt.age());
    }
}
