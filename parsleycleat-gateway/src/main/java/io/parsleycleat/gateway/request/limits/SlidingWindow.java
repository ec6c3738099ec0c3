package io.parsleycleat.gateway.request.limits;

import java.time.Duration;

/**
 * The tokens that were given in the last window, counted in slots of time. A slot counts until all of it has left the
 * window, so the sum is never too small.
 *
 * <p>Created by {@link BudgetPart}, whose lock guards it. Time is passed in, as monotonic nanoseconds.
 */
final class SlidingWindow {
    private static final int SLOTS = 64;

    private final long windowNanos;
    private final long slotNanos;
    private final double[] given = new double[SLOTS + 1];
    private long newest;
    private double steadyTokens;
    private long steadyNanos;

    SlidingWindow(Duration window, long nowNanos) {
        this.windowNanos = Math.max(SLOTS, window.toNanos());
        this.slotNanos = windowNanos / SLOTS;
        this.newest = slot(nowNanos);
    }

    /** Takes it that a number of tokens was given evenly over the whole window before now. */
    void assumeSteady(double tokens, long nowNanos) {
        steadyTokens = tokens;
        steadyNanos = nowNanos;
    }

    void add(double tokens, long nowNanos) {
        advance(nowNanos);
        given[index(newest)] += tokens;
    }

    /** Takes tokens back that were not spent, the newest ones first. */
    void remove(double tokens, long nowNanos) {
        advance(nowNanos);
        double left = tokens;
        for (long slot = newest; slot >= newest - SLOTS && left > 0; slot--) {
            double taken = Math.min(left, given[index(slot)]);
            given[index(slot)] -= taken;
            left -= taken;
        }
    }

    double sum(long nowNanos) {
        advance(nowNanos);
        double sum = steadyTokens * Math.max(0, 1 - (double) (nowNanos - steadyNanos) / windowNanos);
        for (double tokens : given) {
            sum += tokens;
        }
        return sum;
    }

    private void advance(long nowNanos) {
        long now = slot(nowNanos);
        for (long slot = Math.max(newest + 1, now - SLOTS); slot <= now; slot++) {
            given[index(slot)] = 0;
        }
        newest = Math.max(newest, now);
    }

    private long slot(long nanos) {
        return Math.floorDiv(nanos, slotNanos);
    }

    private static int index(long slot) {
        return (int) Math.floorMod(slot, (long) SLOTS + 1);
    }
}
