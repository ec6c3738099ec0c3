package io.parsleycleat.gateway.request.limits;

import java.util.concurrent.TimeUnit;

/**
 * Tokens that come at a rate and are kept up to a burst.
 *
 * <p>Created by {@link BudgetHomes} under whose lock it is used. Time is passed in, as monotonic nanoseconds.
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

    /** Changes rate and burst; tokens above the new burst are dropped. */
    void setLimit(double newRate, double newBurst) {
        ratePerSecond = newRate;
        burst = newBurst;
        level = Math.min(level, newBurst);
    }

    /** Adds what the passed time brings, or lets it pass without adding. */
    void fill(long nowNanos, boolean adding) {
        double seconds = Math.max(0, (nowNanos - filledNanos) / NANOS_PER_SECOND);
        filledNanos = nowNanos;
        if (adding) {
            level = Math.min(burst, level + seconds * ratePerSecond);
        }
    }

    /** Takes what is there of a number of tokens, and returns it. */
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
