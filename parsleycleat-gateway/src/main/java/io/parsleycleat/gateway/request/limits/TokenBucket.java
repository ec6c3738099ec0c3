package io.parsleycleat.gateway.request.limits;

import java.util.concurrent.TimeUnit;

/**
 * Tokens that come at a rate and are kept up to a burst. They may be taken before they have come.
 *
 * <p>Created by {@link BudgetHomes}, whose lock guards it. Time is passed in, as monotonic nanoseconds.
 */
final class TokenBucket {
    static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

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

    /** Adds what the passed time brings, or lets it pass without adding; returns what it brings. */
    double fill(long nowNanos, boolean adding) {
        double seconds = Math.max(0, (nowNanos - filledNanos) / NANOS_PER_SECOND);
        filledNanos = nowNanos;
        if (adding) {
            level = Math.min(burst, level + seconds * ratePerSecond);
        }
        return seconds * ratePerSecond;
    }

    /** Takes what is there of a number of tokens, and some that are still to come, and returns it. */
    double take(double wanted, double ahead) {
        double taken = Math.max(0, Math.min(wanted, level + ahead));
        level -= taken;
        return taken;
    }

    void put(double tokens) {
        level = Math.min(burst, level + tokens);
    }

    double level() {
        return level;
    }

    double burst() {
        return burst;
    }

    double ratePerSecond() {
        return ratePerSecond;
    }
}
