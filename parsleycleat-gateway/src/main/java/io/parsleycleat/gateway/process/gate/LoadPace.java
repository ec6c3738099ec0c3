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
final class LoadPace {
    private static final int MAX_AT_ONCE = 4;
    private static final double FIRST_AT_ONCE = 1;
    private static final double FIRST_GUESS_MILLIS = 260;
    private static final double MIN_MILLIS = 20;
    /** Longer loads are caused by a slow engine rather than by the store, and count as this much. */
    private static final double MAX_MILLIS = 900;
    /** Weight of a new observation in the moving average. */
    private static final double WEIGHT = 0.3;
    /** Ratio to the shortest load time above which the store is considered congested. */
    private static final double CROWDED = 1.5;

    private static final double SHRINK = 0.7;
    /** Growth of the shortest load time per observation, since the speed of the store may change. */
    private static final double FORGET = 1.02;

    private double meanMillis = FIRST_GUESS_MILLIS;
    private double shortestMillis = Double.MAX_VALUE;
    private double atOnce = FIRST_AT_ONCE;

    /** Records a completed load from the store and adjusts the limit. */
    void onLoaded(long acceptedNanos, long nowNanos) {
        double millis = Math.max(MIN_MILLIS, (double) TimeUnit.NANOSECONDS.toMillis(nowNanos - acceptedNanos));
        meanMillis += WEIGHT * (Math.min(MAX_MILLIS, millis) - meanMillis);
        shortestMillis = Math.min(millis, shortestMillis * FORGET);
        atOnce = millis > CROWDED * shortestMillis
                ? Math.max(1, atOnce * SHRINK)
                : Math.min(MAX_AT_ONCE, atOnce + 1 / atOnce);
    }

    /** Returns how many loads may be in progress at once. */
    int atOnce() {
        return (int) atOnce;
    }

    /** Returns the expected time until a load completes that is queued behind a number of others. */
    Duration timeBehind(long others) {
        return Duration.ofMillis((long) (meanMillis * (1 + others / atOnce())));
    }
}
