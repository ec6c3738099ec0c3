package io.parsleycleat.gateway.process.gate;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * How often an adapter of an engine falls out of use, so that its place can be given to another one.
 *
 * <p>Created by {@link EngineGate} under whose lock it is used.
 */
final class PlaceRate {
    private static final double FIRST_GUESS_MILLIS = 100;
    /** Part that a new observation has in the mean. */
    private static final double WEIGHT = 0.2;
    /** Longer gaps tell of an idle engine, not of its places. */
    private static final double MAX_GAP_MILLIS = 1_500;

    private double gapMillis = FIRST_GUESS_MILLIS;
    private long lastNanos;
    private boolean seen;

    /** Notes that nobody uses an adapter any more. */
    void onFreed(long nowNanos) {
        if (seen) {
            gapMillis += WEIGHT * (gapSinceLast(nowNanos) - gapMillis);
        }
        lastNanos = nowNanos;
        seen = true;
    }

    /** Returns how long it takes until a number of places fall free. */
    Duration timeToFree(long places, long nowNanos) {
        double gap = seen ? Math.max(gapMillis, gapSinceLast(nowNanos)) : gapMillis;
        return places <= 0 ? Duration.ZERO : Duration.ofMillis((long) (places * gap));
    }

    private double gapSinceLast(long nowNanos) {
        return Math.min(MAX_GAP_MILLIS, (double) TimeUnit.NANOSECONDS.toMillis(nowNanos - lastNanos));
    }
}
