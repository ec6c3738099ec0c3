package io.parsleycleat.core.version.configuration;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.version.configuration.snapshot.SnapshotChunks;
import io.parsleycleat.wire.configuration.ConfigurationRecord;
import io.parsleycleat.wire.configuration.SnapshotMark;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;

/**
 * Appends a snapshot to the stream before the log drops the newest one, or the records that no snapshot covers.
 *
 * <p>Readers take turns by their rank, so that as a rule only one writes; a second snapshot would be harmless. Created
 * by {@link ConfigurationStore}; safe to share between threads.
 */
final class SnapshotWriter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int RETENTION_SHARE = 2;
    private static final int TURN_SHARE = 64;
    private static final long URGENT_TURN_MILLIS = 2_000;
    private static final int CHUNKS_PER_APPEND = 4;
    private static final int MAX_UNCOVERED_RECORDS = 10_000;
    private static final long PAUSE_MILLIS = 10_000;

    private final StoreParts parts;
    private final StoreSettings settings;
    private final StateHolder holder;
    private final IntSupplier rank;
    private final AtomicBoolean writing = new AtomicBoolean();
    private volatile long urgentSinceMillis;

    SnapshotWriter(StoreParts parts, StoreSettings settings, StateHolder holder, IntSupplier rank) {
        this.parts = parts;
        this.settings = settings;
        this.holder = holder;
        this.rank = rank;
    }

    /** Looks whether a snapshot is due, given a page that ends at the end of the stream. */
    void check(LogPage page) {
        if (holder.state().version() == 0 || !writing.compareAndSet(false, true)) {
            return;
        }
        isDue(page)
                .thenCompose(due -> due ? write() : CompletableFuture.completedFuture(false))
                .whenComplete((written, failure) -> {
                    boolean idle = failure == null && !written;
                    parts.scheduler()
                            .schedule(() -> writing.set(false), idle ? 0 : PAUSE_MILLIS, TimeUnit.MILLISECONDS);
                });
    }

    private CompletableFuture<Boolean> isDue(LogPage page) {
        SnapshotMark mark = holder.newestSnapshot();
        boolean kept = mark.getNextOffset() > 0 && mark.getOffset() >= page.earliestOffset();
        if (!kept && page.earliestOffset() > 0) {
            return CompletableFuture.completedFuture(isUrgentTurn());
        }
        urgentSinceMillis = 0;
        if (holder.state().version() - mark.getNextOffset() > MAX_UNCOVERED_RECORDS) {
            return CompletableFuture.completedFuture(true);
        }
        return kept
                ? CompletableFuture.completedFuture(isTurn(mark.getTimeMillis()))
                : oldestRecordMillis(page.earliestOffset())
                        .thenApply(millis -> millis.map(this::isTurn).orElse(false));
    }

    /** What is missing in the log is written at once by the first in rank, by the others when it did not. */
    private boolean isUrgentTurn() {
        long now = parts.time().wallMillis();
        if (urgentSinceMillis == 0) {
            urgentSinceMillis = now;
        }
        return now - urgentSinceMillis >= rank.getAsInt() * URGENT_TURN_MILLIS;
    }

    private boolean isTurn(long sinceMillis) {
        Duration retention = settings.logRetention();
        Duration age = Duration.ofMillis(parts.time().wallMillis() - sinceMillis);
        Duration turn = retention.dividedBy(TURN_SHARE).multipliedBy(rank.getAsInt());
        Duration latest = retention.multipliedBy(3).dividedBy(4);
        Duration due = retention.dividedBy(RETENTION_SHARE).plus(turn);
        return age.compareTo(due.compareTo(latest) > 0 ? latest : due) >= 0;
    }

    private CompletableFuture<Optional<Long>> oldestRecordMillis(long earliestOffset) {
        return parts.log()
                .read(settings.stream(), earliestOffset, 1, Duration.ZERO)
                .thenApply(page -> page.entries().stream().findFirst().map(e -> e.timeMillis()));
    }

    private CompletableFuture<Boolean> write() {
        ConfigurationState state = holder.state();
        String id = parts.identity().vmName() + "-" + parts.identity().incarnation() + "-" + state.version();
        List<ByteString> records = SnapshotChunks.split(id, state.toSnapshot()).stream()
                .map(ConfigurationRecord::toByteString)
                .toList();
        logger.atInfo()
                .with(LogKeys.OFFSET, state.version())
                .log("a snapshot of %d records is written", records.size());
        return append(records, 0);
    }

    private CompletableFuture<Boolean> append(List<ByteString> records, int from) {
        if (from >= records.size()) {
            return CompletableFuture.completedFuture(true);
        }
        int to = Math.min(records.size(), from + CHUNKS_PER_APPEND);
        return parts.log().append(settings.stream(), records.subList(from, to)).thenCompose(o -> append(records, to));
    }
}
