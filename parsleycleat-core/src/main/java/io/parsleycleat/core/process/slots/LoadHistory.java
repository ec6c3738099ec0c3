package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers how long loads took and which adapters failed to load.
 *
 * <p>Created by the table and guarded by its lock.
 */
final class LoadHistory {
    private static final int MAX_REMEMBERED = 1024;
    private static final int MAX_DOUBLINGS = 16;
    private static final double SMOOTHING = 0.2;

    private record Failure(int count, long untilNanos) {}

    private final SlotTableSettings settings;
    private final Map<AdapterVersion, Failure> failures = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<AdapterVersion, Failure> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };
    private double loadNanos;
    private double permitNanos;

    LoadHistory(SlotTableSettings settings) {
        this.settings = settings;
        this.loadNanos = settings.initialLoadTime().toNanos();
    }

    void loaded(AdapterVersion adapter, long tookNanos) {
        failures.remove(adapter);
        loadNanos += SMOOTHING * (tookNanos - loadNanos);
    }

    void permitted(long tookNanos) {
        permitNanos += SMOOTHING * (tookNanos - permitNanos);
    }

    /** Counts a failed load and returns how long the adapter is not loaded again. */
    Duration failed(AdapterVersion adapter, long nowNanos) {
        Failure earlier = failures.get(adapter);
        int count = earlier == null ? 1 : Math.min(MAX_DOUBLINGS, earlier.count() + 1);
        Duration doubled = settings.firstBackoff().multipliedBy(1L << (count - 1));
        Duration backoff = doubled.compareTo(settings.maxBackoff()) < 0 ? doubled : settings.maxBackoff();
        failures.put(adapter, new Failure(count, nowNanos + backoff.toNanos()));
        return backoff;
    }

    /** Returns how long an adapter is not loaded because it failed; zero when it may be loaded. */
    Duration backoff(AdapterVersion adapter, long nowNanos) {
        Failure failure = failures.get(adapter);
        return failure == null || nowNanos - failure.untilNanos() >= 0
                ? Duration.ZERO
                : Duration.ofNanos(failure.untilNanos() - nowNanos);
    }

    void clearFailures() {
        failures.clear();
    }

    double loadNanos() {
        return loadNanos;
    }

    double permitNanos() {
        return permitNanos;
    }
}
