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
    private double level;
    private long filledNanos;

    TokenBucket(double ratePerSecond, double burst, double level, long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.level = Math.min(burst, level);
        this.filledNanos = nowNanos;
    }

    /** Changes rate and burst; tokens above the new burst are discarded. */
    void setLimit(double newRate, double newBurst) {
        ratePerSecond = newRate;
        burst = newBurst;
        level = Math.min(level, newBurst);
    }

    /** Advances the bucket to a time, with or without adding the tokens of the elapsed time. */
    void fill(long nowNanos, boolean adding) {
        double seconds = Math.max(0, (nowNanos - filledNanos) / NANOS_PER_SECOND);
        filledNanos = nowNanos;
        if (adding) {
            level = Math.min(burst, level + seconds * ratePerSecond);
        }
    }

    /** Removes up to the wanted number of tokens, and returns how many were removed. */
    double take(double wanted) {
        double taken = Math.max(0, Math.min(wanted, level));
        level -= taken;
        return taken;
    }

    void put(double tokens) {
        level = Math.min(burst, level + tokens);
    }

    double level() {
        return level;
    }

    double ratePerSecond() {
        return ratePerSecond;
    }
}
