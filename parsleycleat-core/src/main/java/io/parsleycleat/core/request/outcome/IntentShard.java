package io.parsleycleat.core.request.outcome;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.IntentFold.Holder;
import io.parsleycleat.core.request.outcome.IntentFold.KeyId;
import io.parsleycleat.wire.outcome.Intent;
import io.parsleycleat.wire.outcome.IntentCancellation;
import io.parsleycleat.wire.outcome.IntentRecord;
import io.parsleycleat.wire.outcome.Outcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One intent stream: decides about the requests whose keys belong to it.
 *
 * <p>Created by {@link LogIntentLedger}. All state is under the shard's own lock; callers' futures complete outside it.
 */
final class IntentShard {
    private static final Duration RETRY_WHEN_LOG_IS_OUT = Duration.ofSeconds(1);
    private static final Duration RETRY_WHILE_RUNNING = Duration.ofSeconds(1);
    private static final Duration RETRY_WHEN_UNKNOWN = Duration.ofSeconds(5);

    private final LogClient log;
    private final String stream;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private final String owner;
    private final LedgerSettings settings;
    private final IntentAppender appender;
    private final IntentReader reader;
    private final Queue<Runnable> completions = new ConcurrentLinkedQueue<>();
    private final Map<String, Attempt> waiting = new HashMap<>();
    private final Set<String> running = new HashSet<>();
    private final Map<String, Outcome> unrecorded = new HashMap<>();
    private long attempts;
    private long logOutUntilNanos;
    private boolean logOut;

    /** An attempt whose intent is not read back yet. */
    private static final class Attempt {
        private final String id;
        private final IntentRequest request;
        private final IdempotencyKey key;
        private final CompletableFuture<IntentDecision> decision;
        private final long deadlineNanos;
        private boolean sent;

        Attempt(
                String id,
                IntentRequest request,
                IdempotencyKey key,
                CompletableFuture<IntentDecision> decision,
                long deadlineNanos) {
            this.id = id;
            this.request = request;
            this.key = key;
            this.decision = decision;
            this.deadlineNanos = deadlineNanos;
        }

        KeyId keyId() {
            return new KeyId(request.accountId(), key.text());
        }
    }

    IntentShard(
            String stream,
            LogClient log,
            TimeSource time,
            ScheduledExecutorService scheduler,
            String owner,
            LedgerSettings settings) {
        this.stream = stream;
        this.log = log;
        this.time = time;
        this.scheduler = scheduler;
        this.owner = owner;
        this.settings = settings;
        this.appender = new IntentAppender(log, stream, time, scheduler, settings, this::locked);
        this.reader = new IntentReader(log, stream, time, this::locked, this::onIntent, this::onReadFailed);
    }

    // Requests

    CompletableFuture<IntentDecision> begin(IntentRequest request, IdempotencyKey key) {
        CompletableFuture<IntentDecision> decision = new CompletableFuture<>();
        long deadline = time.monotonicNanos() + settings.timeout().toNanos();
        locked(() -> start(request, key, decision, deadline));
        return decision;
    }

    CompletableFuture<Void> warmUp() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        locked(() -> reader.readToEnd(reached -> after(() -> {
            if (reached) {
                done.complete(null);
            } else {
                done.completeExceptionally(
                        Refusal.of(ResultCode.LOG_UNAVAILABLE).toException());
            }
        })));
        return done;
    }

    CompletableFuture<Void> complete(Outcome recorded, Outcome whole) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        String attemptId = recorded.getAttemptId();
        locked(() -> {
            running.remove(attemptId);
            unrecorded.put(attemptId, whole);
            IntentRecord record = IntentRecord.newBuilder().setOutcome(recorded).build();
            appender.appendUntilDone(record.toByteString(), () -> {
                unrecorded.remove(attemptId);
                after(() -> done.complete(null));
            });
        });
        return done;
    }

    void cancel(KeyId key, String attemptId) {
        locked(() -> {
            running.remove(attemptId);
            appendCancellation(key, attemptId);
        });
    }

    void abandon(String attemptId) {
        locked(() -> running.remove(attemptId));
    }

    // Decisions, under the lock

    private void start(
            IntentRequest request, IdempotencyKey key, CompletableFuture<IntentDecision> decision, long deadline) {
        Attempt attempt = new Attempt(owner + "-" + attempts++, request, key, decision, deadline);
        Holder holder = reader.fold().holder(attempt.keyId());
        if (holder != null) {
            follow(attempt, holder);
            return;
        }
        if (logOut && time.monotonicNanos() < logOutUntilNanos) {
            refuse(attempt, Refusal.of(ResultCode.LOG_UNAVAILABLE).withRetryAfter(RETRY_WHEN_LOG_IS_OUT));
            return;
        }
        waiting.put(attempt.id, attempt);
        onTimeout(attempt, () -> giveUp(attempt));
        appender.append(
                intentOf(attempt),
                () -> {
                    attempt.sent = true;
                    return waiting.containsKey(attempt.id);
                },
                endOffset -> onAppended(attempt, endOffset));
    }

    private void onAppended(Attempt attempt, long endOffset) {
        if (!waiting.containsKey(attempt.id)) {
            return;
        }
        if (endOffset >= 0) {
            logOut = false;
            reader.readTo(endOffset, () -> waiting.containsKey(attempt.id));
            return;
        }
        // The answer to the append was lost or negative: only the log can tell whether the intent is there.
        reader.readToEnd(reached -> {
            if (waiting.containsKey(attempt.id)) {
                giveUp(attempt);
            }
        });
    }

    /** Called for each intent that is read, right after the fold took it. */
    private void onIntent(String attemptId) {
        Attempt attempt = waiting.remove(attemptId);
        if (attempt == null) {
            return;
        }
        Holder holder = reader.fold().holder(attempt.keyId());
        if (holder == null || !holder.attemptId().equals(attemptId)) {
            follow(attempt, holder);
        } else if (time.monotonicNanos() - attempt.deadlineNanos > 0) {
            waiting.put(attemptId, attempt);
            giveUp(attempt);
        } else if (!isReadable(attempt.key)) {
            appendCancellation(attempt.keyId(), attemptId);
            refuse(attempt, Refusal.of(ResultCode.IDEMPOTENCY_KEY_EXPIRED, "the log no longer shows so old a key"));
        } else {
            running.add(attemptId);
            after(() -> attempt.decision.complete(new IntentDecision.Run(attemptId)));
        }
    }

    /** Answers an attempt whose key another attempt has, or had when this one's intent came. */
    private void follow(Attempt attempt, @Nullable Holder holder) {
        if (holder != null && answerFromMemory(attempt, holder)) {
            return;
        }
        onTimeout(attempt, () -> refuseUnknown(attempt));
        reader.readToEnd(reached -> {
            Holder newest = reader.fold().holder(attempt.keyId());
            if (attempt.decision.isDone()) {
                return;
            }
            if (!reached) {
                refuseUnknown(attempt);
            } else if (newest == null) {
                start(attempt.request, attempt.key, attempt.decision, attempt.deadlineNanos);
            } else if (!answerFromMemory(attempt, newest)) {
                refuseUnknown(attempt);
            }
        });
    }

    private boolean answerFromMemory(Attempt attempt, Holder holder) {
        Outcome outcome = unrecorded.get(holder.attemptId());
        if (!holder.bodySha256().equals(attempt.request.bodySha256())) {
            refuse(attempt, Refusal.of(ResultCode.IDEMPOTENCY_KEY_REUSED));
        } else if (outcome != null) {
            after(() -> attempt.decision.complete(new IntentDecision.Recorded(outcome)));
        } else if (holder.hasOutcome()) {
            after(() -> readOutcome(attempt, holder));
        } else if (running.contains(holder.attemptId())) {
            refuse(attempt, Refusal.of(ResultCode.ATTEMPT_IN_PROGRESS).withRetryAfter(RETRY_WHILE_RUNNING));
        } else {
            return false;
        }
        return true;
    }

    private void readOutcome(Attempt attempt, Holder holder) {
        log.read(stream, holder.outcomeOffset(), 1, Duration.ZERO)
                .thenApply(page -> outcomeOf(page, holder))
                .orTimeout(settings.timeout().toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((decision, failure) -> {
                    if (failure == null) {
                        attempt.decision.complete(decision);
                    } else {
                        attempt.decision.complete(new IntentDecision.Refused(unknown()));
                    }
                });
    }

    private static IntentDecision outcomeOf(LogPage page, Holder holder) {
        try {
            Outcome outcome =
                    IntentRecord.parseFrom(page.entries().get(0).value()).getOutcome();
            if (!outcome.getAttemptId().equals(holder.attemptId())) {
                return new IntentDecision.Refused(unknown());
            }
            return outcome.getBodyOmitted()
                    ? new IntentDecision.Refused(Refusal.of(ResultCode.OUTCOME_TOO_LARGE))
                    : new IntentDecision.Recorded(outcome);
        } catch (InvalidProtocolBufferException | IndexOutOfBoundsException e) {
            return new IntentDecision.Refused(unknown());
        }
    }

    /** Ends an attempt whose intent was not read back. It will not run, and a record says so to every reader. */
    private void giveUp(Attempt attempt) {
        if (waiting.remove(attempt.id) == null) {
            return;
        }
        if (attempt.sent) {
            appendCancellation(attempt.keyId(), attempt.id);
        }
        logOut = true;
        logOutUntilNanos = time.monotonicNanos() + RETRY_WHEN_LOG_IS_OUT.toNanos();
        refuse(attempt, Refusal.of(ResultCode.LOG_UNAVAILABLE).withRetryAfter(RETRY_WHEN_LOG_IS_OUT));
    }

    private void onReadFailed() {
        List.copyOf(waiting.values()).stream().filter(a -> a.sent).forEach(this::giveUp);
    }

    // Internals

    private boolean isReadable(IdempotencyKey key) {
        return key.timeMillis() - settings.clockTolerance().toMillis() >= reader.readableSinceMillis();
    }

    private void appendCancellation(KeyId key, String attemptId) {
        IntentCancellation cancellation = IntentCancellation.newBuilder()
                .setAccountId(key.accountId())
                .setIdempotencyKey(key.idempotencyKey())
                .setAttemptId(attemptId)
                .build();
        appender.appendUntilDone(
                IntentRecord.newBuilder().setCancellation(cancellation).build().toByteString(), () -> {});
    }

    private ByteString intentOf(Attempt attempt) {
        Intent intent = Intent.newBuilder()
                .setAccountId(attempt.request.accountId())
                .setIdempotencyKey(attempt.key.text())
                .setBodySha256(attempt.request.bodySha256())
                .setAttemptId(attempt.id)
                .setSide(owner)
                .setTimeMillis(time.wallMillis())
                .build();
        return IntentRecord.newBuilder().setIntent(intent).build().toByteString();
    }

    private void onTimeout(Attempt attempt, Runnable action) {
        long left = Math.max(0, attempt.deadlineNanos - time.monotonicNanos());
        scheduler.schedule(() -> locked(action), left, TimeUnit.NANOSECONDS);
    }

    private void refuse(Attempt attempt, Refusal refusal) {
        after(() -> attempt.decision.complete(new IntentDecision.Refused(refusal)));
    }

    private void refuseUnknown(Attempt attempt) {
        refuse(attempt, unknown());
    }

    private static Refusal unknown() {
        return Refusal.of(ResultCode.OUTCOME_UNKNOWN).withRetryAfter(RETRY_WHEN_UNKNOWN);
    }

    private void after(Runnable completion) {
        completions.add(completion);
    }

    /** Runs a step under the lock and then, outside it, what the step left to do. */
    private void locked(Runnable step) {
        synchronized (this) {
            step.run();
            reader.forgetBefore(time.wallMillis()
                    - settings.window().toMillis()
                    - 2 * settings.clockTolerance().toMillis());
        }
        List<Runnable> ready = new ArrayList<>();
        for (Runnable r = completions.poll(); r != null; r = completions.poll()) {
            ready.add(r);
        }
        ready.forEach(Runnable::run);
    }
}
