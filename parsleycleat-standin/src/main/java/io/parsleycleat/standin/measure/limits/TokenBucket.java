package io.parsleycleat.standin.measure.limits;

import java.util.concurrent.TimeUnit;

/** A plain token bucket, for the ways that the escrow is compared with. Used by one thread. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final double rate;
    private final double burst;
    private double level;
    private long lastNanos;

    TokenBucket(double rate, double burst, double level, long now) {
        this.rate = rate;
        this.burst = burst;
        this.level = level;
        this.lastNanos = now;
    }

    boolean take(double tokens, long now) {
        level = Math.min(burst, level + rate * (now - lastNanos) / NANOS_PER_SECOND);
        lastNanos = now;
        boolean enough = level >= tokens;
        level -= enough ? tokens : 0;
        return enough;
    }

    void giveBack(double tokens) {
        level = Math.min(burst, level + tokens);
    }
}
