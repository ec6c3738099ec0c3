package io.parsleycleat.standin.platform;

import io.parsleycleat.core.process.time.TimeSource;

/**
 * A token bucket that starts full.
 *
 * <p>Created by the stand-ins that limit a rate; safe to share between threads.
 */
final class RateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource time;
    private final double burst;
    private double perSecond;
    private double level;
    private long updatedNanos;

    RateLimiter(TimeSource time, double perSecond, double burst) {
        this.time = time;
        this.perSecond = perSecond;
        this.burst = burst;
        this.level = burst;
        this.updatedNanos = time.monotonicNanos();
    }

    synchronized void setRate(double newPerSecond) {
        refill();
        perSecond = newPerSecond;
    }

    /** Takes a token if there is one. */
    synchronized boolean tryTake() {
        refill();
        if (level < 1) {
            return false;
        }
        level -= 1;
        return true;
    }

    /** Takes a token and returns the nanoseconds until it is due, or -1 and takes none if that is above the bound. */
    synchronized long take(long maxWaitNanos) {
        refill();
        long wait = level >= 1 ? 0 : (long) ((1 - level) / perSecond * NANOS_PER_SECOND);
        if (wait > maxWaitNanos) {
            return -1;
        }
        level -= 1;
        return wait;
    }

    private void refill() {
        long now = time.monotonicNanos();
        level = Math.min(burst, level + (now - updatedNanos) / NANOS_PER_SECOND * perSecond);
        updatedNanos = now;
    }
}
