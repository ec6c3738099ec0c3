package io.parsleycleat.core.version.configuration;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.PlatformException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ConfigurationRecord;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Appends changes to the stream and completes when they were read back. An append that fails is repeated with the same
 * change id, since it may have taken effect and the fold ignores a repeat.
 *
 * <p>Created by {@link ConfigurationStore}; safe to share between threads.
 */
final class ChangeAppender {
    private static final long FIRST_RETRY_MILLIS = 250;
    private static final long LAST_RETRY_MILLIS = 2_000;

    private final StoreParts parts;
    private final StoreSettings settings;
    private final StateHolder holder;
    private final Runnable whenAwaiting;

    /**
     * Creates an appender.
     *
     * @param whenAwaiting called when the stream has to be read for a change
     */
    ChangeAppender(StoreParts parts, StoreSettings settings, StateHolder holder, Runnable whenAwaiting) {
        this.parts = parts;
        this.settings = settings;
        this.holder = holder;
        this.whenAwaiting = whenAwaiting;
    }

    /** Appends a change and completes with what became of it, or fails when that is still unknown after a time. */
    CompletableFuture<AuditEntry> append(Change change, Duration timeout) {
        CompletableFuture<AuditEntry> answer = new CompletableFuture<>();
        CompletableFuture<AuditEntry> folded = holder.await(change.getChangeId());
        folded.thenAccept(answer::complete);
        if (!folded.isDone()) {
            whenAwaiting.run();
            attempt(change, answer, FIRST_RETRY_MILLIS);
            parts.scheduler().schedule(() -> giveUp(change, answer), timeout.toMillis(), TimeUnit.MILLISECONDS);
        }
        return answer;
    }

    private void attempt(Change change, CompletableFuture<AuditEntry> answer, long retryMillis) {
        if (answer.isDone()) {
            return;
        }
        ByteString record =
                ConfigurationRecord.newBuilder().setChange(change).build().toByteString();
        parts.log().append(settings.stream(), List.of(record)).whenComplete((offset, failure) -> {
            if (failure != null && !answer.isDone()) {
                long next = Math.min(LAST_RETRY_MILLIS, retryMillis * 2);
                parts.scheduler().schedule(() -> attempt(change, answer, next), retryMillis, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void giveUp(Change change, CompletableFuture<AuditEntry> answer) {
        if (!answer.isDone()) {
            holder.abandon(change.getChangeId());
            holder.state().result(change.getChangeId()).ifPresent(answer::complete);
            answer.completeExceptionally(new PlatformException(
                    ResultCode.CHANGE_UNKNOWN,
                    "change " + change.getChangeId() + " was not read back in time",
                    Location.of(settings.stream())));
        }
    }
}
