package io.parsleycleat.core.process.membership;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.LogEntry;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.LogTrimmedException;
import io.parsleycleat.wire.escrow.EpochRecord;
import io.parsleycleat.wire.escrow.MembershipRecord;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * The epochs in the log's membership stream.
 *
 * <p>Created by {@link EpochKeeper}, which reads from one thread at a time.
 */
final class MembershipLog {
    /** The stream of epochs and of the sides' claims on their upstreams. */
    static final String STREAM = "membership";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int PAGE_RECORDS = 256;

    private final LogClient log;
    private volatile long nextOffset;

    MembershipLog(LogClient log) {
        this.log = log;
    }

    /** Returns the offset behind the last record that was read. */
    long nextOffset() {
        return nextOffset;
    }

    /** Reads on to the end and passes on each epoch in log order. */
    CompletableFuture<Void> readToEnd(Consumer<EpochRecord> reader) {
        long from = nextOffset;
        return log.read(STREAM, from, PAGE_RECORDS, Duration.ZERO)
                .handle((page, failure) -> {
                    if (failure != null) {
                        return restart(failure, reader);
                    }
                    return readOn(from, page, reader);
                })
                .thenCompose(next -> next);
    }

    /** Appends an epoch. Whether it counts is known only when it was read back. */
    CompletableFuture<Long> append(EpochRecord epoch) {
        MembershipRecord wrapped = MembershipRecord.newBuilder().setEpoch(epoch).build();
        return log.append(STREAM, List.of(wrapped.toByteString()));
    }

    private CompletableFuture<Void> readOn(long from, LogPage page, Consumer<EpochRecord> reader) {
        page.entries().forEach(entry -> pass(entry, reader));
        nextOffset = page.nextOffset(from);
        return page.entries().isEmpty() || nextOffset >= page.endOffset()
                ? CompletableFuture.completedFuture(null)
                : readToEnd(reader);
    }

    private CompletableFuture<Void> restart(Throwable failure, Consumer<EpochRecord> reader) {
        Throwable cause = Failures.unwrap(failure);
        if (cause instanceof LogTrimmedException trimmed && trimmed.earliestOffset() > nextOffset) {
            nextOffset = trimmed.earliestOffset();
            return readToEnd(reader);
        }
        return CompletableFuture.failedFuture(cause);
    }

    private static void pass(LogEntry entry, Consumer<EpochRecord> reader) {
        try {
            MembershipRecord wrapped = MembershipRecord.parseFrom(entry.value());
            if (wrapped.hasEpoch()) {
                reader.accept(wrapped.getEpoch());
            }
        } catch (InvalidProtocolBufferException e) {
            logger.atWarning()
                    .with(LogKeys.OFFSET, entry.offset())
                    .log("a membership record cannot be understood: %s", e);
        }
    }
}
