package io.parsleycleat.core.request.execute;

import com.codahale.metrics.MetricRegistry;
import io.parsleycleat.core.connection.upstream.PlainService;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.IntentLedger;
import io.parsleycleat.core.request.queue.RunQueue;
import io.parsleycleat.wire.run.Start;
import java.util.Objects;

/**
 * What the runs on one plain service share. Created once by the side; safe to share between threads.
 *
 * @param serviceName name of the service that the side stands beside; empty when the settings name none
 */
public record ServiceContext(
        String upstreamId,
        String serviceName,
        PlainService service,
        RunQueue queue,
        SideGate gate,
        IntentLedger ledger,
        TimeSource time,
        MetricRegistry metrics) {
    public ServiceContext {
        Objects.requireNonNull(upstreamId, "upstreamId");
        Objects.requireNonNull(serviceName, "serviceName");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(gate, "gate");
        Objects.requireNonNull(ledger, "ledger");
    }

    /** Returns whether a run is for this service. Its entry may know an earlier or a later one behind the side. */
    boolean takes(Start start) {
        return start.hasService()
                && (serviceName.isEmpty()
                        || serviceName.equals(start.getService().getService()));
    }
}
