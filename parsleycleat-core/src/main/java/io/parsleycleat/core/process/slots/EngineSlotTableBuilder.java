package io.parsleycleat.core.process.slots;

import com.codahale.metrics.MetricRegistry;
import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.connection.upstream.ModelEngine;
import io.parsleycleat.core.process.time.TimeSource;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/** Collects what an {@link EngineSlotTable} is made of. Created by the table's class; used by one thread. */
public final class EngineSlotTableBuilder {
    final ModelEngine engine;
    final TimeSource time;
    LoadGate gate = LoadGate.OPEN;
    LongSupplier fencingNumber = () -> 0;
    BooleanSupplier leaseHeld = () -> true;
    SlotTableSettings settings = SlotTableSettings.DEFAULT;
    Predicate<AdapterVersion> retired = adapter -> false;
    MetricRegistry metrics = new MetricRegistry();

    EngineSlotTableBuilder(ModelEngine engine, TimeSource time) {
        this.engine = engine;
        this.time = time;
    }

    /** Sets who permits loads; by default every load is permitted. */
    public EngineSlotTableBuilder withGate(LoadGate newGate) {
        gate = newGate;
        return this;
    }

    /** Sets the fencing number of orders and the check of the side's lease. */
    public EngineSlotTableBuilder withLease(LongSupplier newFencingNumber, BooleanSupplier newLeaseHeld) {
        fencingNumber = newFencingNumber;
        leaseHeld = newLeaseHeld;
        return this;
    }

    /** Sets bounds and times. */
    public EngineSlotTableBuilder withSettings(SlotTableSettings newSettings) {
        settings = newSettings;
        return this;
    }

    /** Sets how adapter versions are recognized that no request asks for any more; they are evicted first. */
    public EngineSlotTableBuilder withRetired(Predicate<AdapterVersion> newRetired) {
        retired = newRetired;
        return this;
    }

    /** Sets where the table's metrics are registered. */
    public EngineSlotTableBuilder withMetrics(MetricRegistry newMetrics) {
        metrics = newMetrics;
        return this;
    }

    /** Returns the table. */
    public EngineSlotTable build() {
        return new EngineSlotTable(this);
    }
}
