package io.parsleycleat.gateway.request.limits;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket that is refilled at a rate up to a burst.
 *
 * <p>Created by {@link BudgetHomes} and guarded by its lock. Times are passed in as monotonic nanoseconds.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private double ratePerSecond;
    private double burst;
    private double storedTokens;
    private long refilledNanos;

    TokenBucket(double ratePerSecond, double burst, double storedTokens, long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.storedTokens = Math.min(burst, storedTokens);
        this.refilledNanos = nowNanos;
    }

    /** Changes rate and burst; tokens above the new burst are discarded. */
    void setLimits(double newRate, double newBurst) {
        ratePerSecond = newRate;
        burst = newBurst;
        storedTokens = Math.min(storedTokens, newBurst);
    }

    /** Advances the bucket to a time, with or without adding the tokens of the elapsed time. */
    void refill(long nowNanos, boolean adding) {
        double seconds = Math.max(0, (nowNanos - refilledNanos) / NANOS_PER_SECOND);
        refilledNanos = nowNanos;
        if (adding) {
            storedTokens = Math.min(burst, storedTokens + seconds * ratePerSecond);
        }
    }

    /** Removes up to the wanted number of tokens, and returns how many were removed. */
    double take(double wanted) {
        double taken = Math.max(0, Math.min(wanted, storedTokens));
        storedTokens -= taken;
        return taken;
    }

    void add(double tokens) {
        storedTokens = Math.min(burst, storedTokens + tokens);
    }

    double storedTokens() {
        return storedTokens;
    }

    double ratePerSecond() {
        return ratePerSecond;
    }
}
