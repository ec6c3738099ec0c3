package io.parsleycleat.core.request.execute;

import com.codahale.metrics.MetricRegistry;
import io.parsleycleat.core.connection.upstream.PlainService;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.IntentLedger;
import io.parsleycleat.core.request.queue.RunQueue;
import java.util.Objects;

/** What the runs on one plain service share. Created once by the side; safe to share between threads. */
public record ServiceContext(
        String upstreamId,
        PlainService service,
        RunQueue queue,
        SideGate gate,
        IntentLedger ledger,
        TimeSource time,
        MetricRegistry metrics) {
    public ServiceContext {
        Objects.requireNonNull(upstreamId, "upstreamId");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(gate, "gate");
        Objects.requireNonNull(ledger, "ledger");
    }
}
