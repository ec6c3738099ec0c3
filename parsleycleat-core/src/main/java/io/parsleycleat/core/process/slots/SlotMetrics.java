package io.parsleycleat.core.process.slots;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.function.Supplier;

/** The metrics of one slot table. Created by the table; safe to share between threads. */
final class SlotMetrics {
    private final Meter hits;
    private final Meter misses;
    private final Meter evictions;
    private final Meter failures;
    private final Timer loads;

    SlotMetrics(MetricRegistry registry, Supplier<Integer> pinned, Supplier<Integer> waiting) {
        hits = registry.meter("slots.hits");
        misses = registry.meter("slots.misses");
        evictions = registry.meter("slots.evictions");
        failures = registry.meter("slots.load.failures");
        loads = registry.timer("slots.load.time");
        registry.gauge("slots.pinned", () -> pinned::get);
        registry.gauge("slots.waiting", () -> waiting::get);
    }

    void count(boolean hit) {
        (hit ? hits : misses).mark();
    }

    void countEviction() {
        evictions.mark();
    }

    void countFailure() {
        failures.mark();
    }

    Timer.Context startLoad() {
        return loads.time();
    }
}
