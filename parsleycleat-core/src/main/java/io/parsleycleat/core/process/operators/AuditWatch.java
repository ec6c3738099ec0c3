package io.parsleycleat.core.process.operators;

import io.grpc.stub.ServerCallStreamObserver;
import io.parsleycleat.core.version.configuration.ConfigurationState;
import io.parsleycleat.wire.configuration.AuditEntry;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Sends the audit trail to one operator, no faster than the operator reads.
 *
 * <p>Created for each call that watches; its steps never overlap.
 */
final class AuditWatch {
    private static final long INTERVAL_MILLIS = 500;
    private static final int ENTRIES_PER_STEP = 200;

    private final Supplier<ConfigurationState> state;
    private final ServerCallStreamObserver<AuditEntry> out;
    private final ScheduledExecutorService scheduler;
    private long nextOffset;

    AuditWatch(
            Supplier<ConfigurationState> state,
            ServerCallStreamObserver<AuditEntry> out,
            ScheduledExecutorService scheduler,
            long fromOffset) {
        this.state = state;
        this.out = out;
        this.scheduler = scheduler;
        this.nextOffset = fromOffset;
    }

    /** Sends what is known and ends. */
    void sendOnce() {
        state.get().recentFrom(nextOffset).forEach(out::onNext);
        out.onCompleted();
    }

    /** Sends what is known and what comes, until the operator leaves. */
    void follow() {
        if (out.isCancelled()) {
            return;
        }
        if (out.isReady()) {
            List<AuditEntry> entries = state.get().recentFrom(nextOffset).stream()
                    .limit(ENTRIES_PER_STEP)
                    .toList();
            entries.forEach(entry -> {
                out.onNext(entry);
                nextOffset = entry.getOffset() + 1;
            });
        }
        scheduler.schedule(this::follow, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
