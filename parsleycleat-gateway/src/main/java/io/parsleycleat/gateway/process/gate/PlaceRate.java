package io.parsleycleat.gateway.process.gate;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Moving average of the time between two releases of an engine's adapters. An adapter is released when its last request
 * ends, and its slot can then be used for another adapter.
 *
 * <p>Created by {@link EngineGate}, which guards it with its lock.
 */
final class PlaceRate {
    private static final double FIRST_GUESS_MILLIS = 100;
    /** Weight of a new observation in the moving average. */
    private static final double WEIGHT = 0.2;
    /** Longer intervals are caused by an idle engine, and count as this much. */
    private static final double MAX_GAP_MILLIS = 1_500;

    private double gapMillis = FIRST_GUESS_MILLIS;
    private long lastNanos;
    private boolean seen;

    /** Records that an adapter is no longer in use. */
    void onFreed(long nowNanos) {
        if (seen) {
            gapMillis += WEIGHT * (gapSinceLast(nowNanos) - gapMillis);
        }
        lastNanos = nowNanos;
        seen = true;
    }

    /** Returns the expected time until a number of slots are released. */
    Duration timeToFree(long places, long nowNanos) {
        double gap = seen ? Math.max(gapMillis, gapSinceLast(nowNanos)) : gapMillis;
        return places <= 0 ? Duration.ZERO : Duration.ofMillis((long) (places * gap));
    }

    private double gapSinceLast(long nowNanos) {
        return Math.min(MAX_GAP_MILLIS, (double) TimeUnit.NANOSECONDS.toMillis(nowNanos - lastNanos));
    }
}
