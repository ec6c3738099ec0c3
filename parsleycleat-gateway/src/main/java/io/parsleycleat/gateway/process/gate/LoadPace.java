package io.parsleycleat.gateway.process.gate;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * How long loads of adapters take, and how many an engine has on their way at once.
 *
 * <p>The weight store serves all engines, and beyond some number of loads each of them takes longer in proportion. More
 * at once then bring nothing sooner, but make the first ones late. So when loads take clearly longer than they can,
 * fewer are ordered at once, and more again when they do not; each side judges by its own loads.
 *
 * <p>Created by {@link EngineGate} under whose lock it is used.
 */
final class LoadPace {
    private static final int MAX_AT_ONCE = 4;
    private static final double FIRST_AT_ONCE = 1;
    private static final double FIRST_GUESS_MILLIS = 260;
    private static final double MIN_MILLIS = 20;
    /** Loads that take longer tell of an engine in trouble, not of the store. */
    private static final double MAX_MILLIS = 900;
    /** Part that a new observation has in the mean. */
    private static final double WEIGHT = 0.3;
    /** A load that takes so much longer than the shortest ones shares the store with too many others. */
    private static final double CROWDED = 1.5;

    private static final double SHRINK = 0.7;
    /** Forgets the shortest load slowly, since what the store can do may change. */
    private static final double FORGET = 1.02;

    private double meanMillis = FIRST_GUESS_MILLIS;
    private double shortestMillis = Double.MAX_VALUE;
    private double atOnce = FIRST_AT_ONCE;

    /** Takes a load from the store that was accepted at some time and is there now. */
    void onLoaded(long acceptedNanos, long nowNanos) {
        double millis = Math.max(MIN_MILLIS, (double) TimeUnit.NANOSECONDS.toMillis(nowNanos - acceptedNanos));
        meanMillis += WEIGHT * (Math.min(MAX_MILLIS, millis) - meanMillis);
        shortestMillis = Math.min(millis, shortestMillis * FORGET);
        atOnce = millis > CROWDED * shortestMillis
                ? Math.max(1, atOnce * SHRINK)
                : Math.min(MAX_AT_ONCE, atOnce + 1 / atOnce);
    }

    /** Returns how many loads may be on their way. */
    int atOnce() {
        return (int) atOnce;
    }

    /** Returns how long a load takes that has a number of others before it. */
    Duration timeBehind(long others) {
        return Duration.ofMillis((long) (meanMillis * (1 + others / atOnce())));
    }
}
