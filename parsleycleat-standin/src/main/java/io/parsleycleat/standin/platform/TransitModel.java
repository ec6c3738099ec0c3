package io.parsleycleat.standin.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * Shares the store's bandwidth between the loads in transit: up to a number go at full speed, beyond that all slow
 * down in proportion.
 *
 * <p>Created by {@link WeightStoreStandIn}, under whose lock every method is called.
 */
final class TransitModel {
    private final double fullSpeedTransits;
    private final List<Transit> transits = new ArrayList<>();
    private long updatedNanos;

    TransitModel(int fullSpeedTransits, long nowNanos) {
        this.fullSpeedTransits = fullSpeedTransits;
        this.updatedNanos = nowNanos;
    }

    int count() {
        return transits.size();
    }

    void start(long nowNanos, double workNanos, Runnable whenDone) {
        advance(nowNanos);
        transits.add(new Transit(workNanos, whenDone));
    }

    /** Removes the loads that are done and returns what each of them asked to be run. */
    List<Runnable> finish(long nowNanos) {
        advance(nowNanos);
        List<Runnable> done = transits.stream()
                .filter(t -> t.remainingNanos < 1)
                .map(t -> t.whenDone)
                .toList();
        transits.removeIf(t -> t.remainingNanos < 1);
        return done;
    }

    /** Returns the nanoseconds until the next load is done if none starts before. */
    long nextNanos() {
        double least =
                transits.stream().mapToDouble(t -> t.remainingNanos).min().orElse(0);
        return (long) Math.ceil(least / speed());
    }

    private void advance(long nowNanos) {
        double progress = (nowNanos - updatedNanos) * speed();
        transits.forEach(t -> t.remainingNanos -= progress);
        updatedNanos = nowNanos;
    }

    private double speed() {
        return transits.isEmpty() ? 1 : Math.min(1, fullSpeedTransits / transits.size());
    }

    /** One load on its way. */
    private static final class Transit {
        private final Runnable whenDone;
        private double remainingNanos;

        Transit(double remainingNanos, Runnable whenDone) {
            this.remainingNanos = remainingNanos;
            this.whenDone = whenDone;
        }
    }
}
