package io.parsleycleat.core.request.execute;

import com.codahale.metrics.MetricRegistry;
import io.parsleycleat.core.connection.upstream.ModelEngine;
import io.parsleycleat.core.process.slots.SlotTable;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.queue.RunQueue;
import io.parsleycleat.core.request.routing.RecentPrefixes;
import java.util.Objects;

/** What the runs on one model engine share. Created once by the side; safe to share between threads. */
public record EngineContext(
        String upstreamId,
        ModelEngine engine,
        SlotTable slots,
        RunQueue queue,
        SideGate gate,
        CrashWatch crashes,
        SuspectRules suspects,
        RecentPrefixes prefixes,
        TimeSource time,
        MetricRegistry metrics) {
    public EngineContext {
        Objects.requireNonNull(upstreamId, "upstreamId");
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(slots, "slots");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(gate, "gate");
        Objects.requireNonNull(crashes, "crashes");
        Objects.requireNonNull(suspects, "suspects");
        Objects.requireNonNull(prefixes, "prefixes");
    }
}
