package io.parsleycleat.gateway.process.gate;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Adaptive limit of concurrent adapter loads, and an estimate of load times.
 *
 * <p>All engines share the weight store. Beyond some number of concurrent loads, each load slows down in proportion, so
 * that more concurrency gains no throughput and delays the first loads. The limit is therefore reduced when loads take
 * much longer than the shortest ones, and raised when they do not. Each side uses the loads of its own engine only.
 *
 * <p>Created by {@link EngineGate}, which guards it with its lock.
 */
final class LoadConcurrencyLimit {
    private static final int MAX_CONCURRENT_LOADS = 4;
    private static final double INITIAL_CONCURRENT_LOADS = 1;
    private static final double INITIAL_LOAD_MILLIS = 260;
    private static final double MIN_LOAD_MILLIS = 20;
    /** Longer loads are caused by a slow engine rather than by the store, and count as this much. */
    private static final double MAX_LOAD_MILLIS = 900;
    /** Weight of a new observation in the moving average. */
    private static final double SMOOTHING_FACTOR = 0.3;
    /** Ratio to the shortest load time above which the store is considered congested. */
    private static final double CONGESTION_RATIO = 1.5;

    private static final double DECREASE_FACTOR = 0.7;
    /** Growth of the shortest load time per observation, since the speed of the store may change. */
    private static final double SHORTEST_LOAD_GROWTH_FACTOR = 1.02;

    private double meanLoadMillis = INITIAL_LOAD_MILLIS;
    private double shortestLoadMillis = Double.MAX_VALUE;
    private double maxConcurrentLoads = INITIAL_CONCURRENT_LOADS;

    /** Records a completed load from the store and adjusts the limit. */
    void onLoadCompleted(long acceptedNanos, long nowNanos) {
        double millis = Math.max(MIN_LOAD_MILLIS, (double) TimeUnit.NANOSECONDS.toMillis(nowNanos - acceptedNanos));
        meanLoadMillis += SMOOTHING_FACTOR * (Math.min(MAX_LOAD_MILLIS, millis) - meanLoadMillis);
        shortestLoadMillis = Math.min(millis, shortestLoadMillis * SHORTEST_LOAD_GROWTH_FACTOR);
        maxConcurrentLoads = millis > CONGESTION_RATIO * shortestLoadMillis
                ? Math.max(1, maxConcurrentLoads * DECREASE_FACTOR)
                : Math.min(MAX_CONCURRENT_LOADS, maxConcurrentLoads + 1 / maxConcurrentLoads);
    }

    /** Returns how many loads may be in progress at once. */
    int maxConcurrentLoads() {
        return (int) maxConcurrentLoads;
    }

    /** Returns the expected time until a load completes that is queued behind a number of others. */
    Duration expectedLoadTime(long loadsAhead) {
        return Duration.ofMillis((long) (meanLoadMillis * (1 + loadsAhead / maxConcurrentLoads())));
    }
}
