package io.parsleycleat.core.version.configuration;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.parsleycleat.core.connection.platform.LogEntry;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.LogTrimmedException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.snapshot.SnapshotAssembler;
import io.parsleycleat.wire.configuration.ConfigurationRecord;
import java.time.Duration;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Reads the configuration stream for as long as it is wanted, one read at a time.
 *
 * <p>Where the log no longer keeps the next record, it searches the rest of the stream for a snapshot and leaves the
 * state as it is until one is found. Created by {@link ConfigurationStore}; safe to share between threads.
 */
final class LogTailer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int PAGE_RECORDS = 500;
    private static final long RETRY_MILLIS = 1_000;
    private static final long EMPTY_ANSWER_PAUSE_MILLIS = 250;

    private final StoreParts parts;
    private final StoreSettings settings;
    private final StateHolder holder;
    private final BooleanSupplier wanted;
    private final Consumer<LogPage> whenAtEnd;
    private final Runnable whenFailed;
    private final AtomicBoolean running = new AtomicBoolean();
    private volatile boolean reachable = true;
    private volatile boolean searching;

    // Only touched by the one read at a time.
    private SnapshotAssembler assembler = new SnapshotAssembler();
    private long searchOffset;

    /**
     * Creates a tailer that reads nothing yet.
     *
     * @param wanted whether to go on reading; asked before each read
     * @param whenAtEnd called with each page that ends at the end of the stream
     * @param whenFailed called when the state cannot be had from the log now
     */
    LogTailer(
            StoreParts parts,
            StoreSettings settings,
            StateHolder holder,
            BooleanSupplier wanted,
            Consumer<LogPage> whenAtEnd,
            Runnable whenFailed) {
        this.parts = parts;
        this.settings = settings;
        this.holder = holder;
        this.wanted = wanted;
        this.whenAtEnd = whenAtEnd;
        this.whenFailed = whenFailed;
    }

    /** Starts to read when that is wanted and not under way. */
    void wake() {
        if (wanted.getAsBoolean() && running.compareAndSet(false, true)) {
            parts.scheduler().execute(this::step);
        }
    }

    /** Returns whether the last read was answered. */
    boolean isReachable() {
        return reachable;
    }

    /** Returns whether records between the state and the log are missing. */
    boolean hasGap() {
        return searching;
    }

    private void step() {
        if (!wanted.getAsBoolean()) {
            running.set(false);
            wake();
            return;
        }
        long from = searching ? Math.max(searchOffset, 0) : holder.state().version();
        boolean firstRead = !holder.isReady() && !searching;
        Duration wait = firstRead ? Duration.ZERO : settings.logWait();
        long startNanos = parts.time().monotonicNanos();
        read(from, wait).whenComplete((page, failure) -> {
            try {
                if (failure == null) {
                    onPage(from, page, startNanos, wait);
                } else {
                    onFailure(Failures.unwrap(failure));
                }
            } catch (RuntimeException | Error e) {
                onUnexpected(from, e);
            }
        });
    }

    /** Starts a read. One that throws is a failed read like any other, so that the next one is scheduled. */
    private CompletableFuture<LogPage> read(long from, Duration wait) {
        try {
            return parts.log().read(settings.stream(), from, PAGE_RECORDS, wait);
        } catch (RuntimeException | Error e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Goes on reading after an error in the handling of an answer, from where the state is by now. */
    private void onUnexpected(long from, Throwable failure) {
        logger.atSevere()
                .atMostEvery(1, TimeUnit.MINUTES)
                .withCause(failure)
                .with(LogKeys.OFFSET, from)
                .log("the answer of a read could not be handled; reading goes on");
        next(RETRY_MILLIS);
    }

    private void onPage(long from, LogPage page, long startNanos, Duration wait) {
        onReachable();
        SortedMap<Long, ConfigurationRecord> records = new TreeMap<>();
        page.entries().forEach(entry -> records.put(entry.offset(), parse(entry)));
        page.entries().forEach(entry -> onRecord(entry, Objects.requireNonNull(records.get(entry.offset()))));
        if (searching) {
            onSearched(from, page);
            return;
        }
        holder.apply(records);
        if (page.nextOffset(from) >= page.endOffset()) {
            parts.monitor().heardLogToItsEnd(startNanos);
            holder.markReady();
            whenAtEnd.accept(page);
        }
        next(page.entries().isEmpty() && isEarly(startNanos, wait) ? EMPTY_ANSWER_PAUSE_MILLIS : 0);
    }

    /** A log that does not hold answers back is not asked without a pause. */
    private boolean isEarly(long startNanos, Duration wait) {
        return parts.time().monotonicNanos() - startNanos < wait.toNanos() / 2 || wait.isZero();
    }

    private void onRecord(LogEntry entry, ConfigurationRecord record) {
        if (record.hasSnapshotChunk()) {
            assembler
                    .add(entry.offset(), entry.timeMillis(), record.getSnapshotChunk())
                    .ifPresent(this::onSnapshot);
        }
    }

    private void onSnapshot(SnapshotAssembler.Assembled assembled) {
        holder.noteSnapshot(assembled.mark());
        if (searching) {
            holder.install(assembled.snapshot());
        }
    }

    /** Goes back to folding when a snapshot closed the gap. The next read finds out whether it did. */
    private void onSearched(long from, LogPage page) {
        searchOffset = page.nextOffset(from);
        if (holder.state().version() >= page.earliestOffset()) {
            searching = false;
            next(0);
        } else if (searchOffset >= page.endOffset()) {
            whenFailed.run();
            next(RETRY_MILLIS);
        } else {
            next(0);
        }
    }

    private void onFailure(Throwable failure) {
        if (failure instanceof LogTrimmedException trimmed) {
            onReachable();
            logger.atWarning()
                    .atMostEvery(1, TimeUnit.MINUTES)
                    .with(LogKeys.CODE, ResultCode.LOG_TRIMMED.number())
                    .with(LogKeys.OFFSET, holder.state().version())
                    .log("the log starts at %d, a snapshot is searched for", trimmed.earliestOffset());
            searching = true;
            searchOffset = trimmed.earliestOffset();
            assembler = new SnapshotAssembler();
            next(0);
            return;
        }
        reachable = false;
        logger.atWarning()
                .atMostEvery(1, TimeUnit.MINUTES)
                .with(LogKeys.CODE, ResultCode.LOG_OUT.number())
                .log("the configuration stream cannot be read: %s", failure);
        whenFailed.run();
        next(RETRY_MILLIS);
    }

    private void onReachable() {
        reachable = true;
        parts.monitor().heardLog();
    }

    private void next(long delayMillis) {
        if (delayMillis == 0) {
            parts.scheduler().execute(this::step);
        } else {
            parts.scheduler().schedule(this::step, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Records that cannot be understood fold to nothing, at each reader alike. */
    private static ConfigurationRecord parse(LogEntry entry) {
        try {
            return ConfigurationRecord.parseFrom(entry.value());
        } catch (InvalidProtocolBufferException e) {
            logger.atWarning().with(LogKeys.OFFSET, entry.offset()).log("a record is passed over: %s", e.getMessage());
            return ConfigurationRecord.getDefaultInstance();
        }
    }
}
