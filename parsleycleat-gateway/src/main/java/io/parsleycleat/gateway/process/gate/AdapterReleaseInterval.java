package io.parsleycleat.gateway.process.gate;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Moving average of the time between two releases of an engine's adapters. An adapter is released when its last request
 * ends, and its slot can then be used for another adapter.
 *
 * <p>Created by {@link EngineGate}, which guards it with its lock.
 */
final class AdapterReleaseInterval {
    private static final double INITIAL_INTERVAL_MILLIS = 100;
    /** Weight of a new observation in the moving average. */
    private static final double SMOOTHING_FACTOR = 0.2;
    /** Longer intervals are caused by an idle engine, and count as this much. */
    private static final double MAX_INTERVAL_MILLIS = 1_500;

    private double meanIntervalMillis = INITIAL_INTERVAL_MILLIS;
    private long lastReleaseNanos;
    private boolean hasReleases;

    /** Records that an adapter is no longer in use. */
    void onReleased(long nowNanos) {
        if (hasReleases) {
            meanIntervalMillis += SMOOTHING_FACTOR * (millisSinceLastRelease(nowNanos) - meanIntervalMillis);
        }
        lastReleaseNanos = nowNanos;
        hasReleases = true;
    }

    /** Returns the expected time until a number of slots are released. */
    Duration expectedWait(long slots, long nowNanos) {
        double intervalMillis =
                hasReleases ? Math.max(meanIntervalMillis, millisSinceLastRelease(nowNanos)) : meanIntervalMillis;
        return slots <= 0 ? Duration.ZERO : Duration.ofMillis((long) (slots * intervalMillis));
    }

    private double millisSinceLastRelease(long nowNanos) {
        return Math.min(MAX_INTERVAL_MILLIS, (double) TimeUnit.NANOSECONDS.toMillis(nowNanos - lastReleaseNanos));
    }
}
