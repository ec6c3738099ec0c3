package io.parsleycleat.core.request.execute;

import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.run.RunAnswer;
import io.parsleycleat.core.connection.upstream.ServiceAnswer;
import io.parsleycleat.core.connection.upstream.ServiceRequest;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.result.UpstreamException;
import io.parsleycleat.core.request.outcome.IntentDecision;
import io.parsleycleat.core.request.outcome.IntentRequest;
import io.parsleycleat.core.request.queue.QueuedRun;
import io.parsleycleat.wire.outcome.Outcome;
import io.parsleycleat.wire.outcome.OutcomeHeader;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import io.parsleycleat.wire.run.Header;
import io.parsleycleat.wire.run.RunId;
import io.parsleycleat.wire.run.ServiceTarget;
import io.parsleycleat.wire.run.Start;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One run on a plain service. A request that is not idempotent runs only when the ledger allows it, and its outcome is
 * recorded.
 *
 * <p>Created by {@link RunExecutor} for each run; guarded by its own lock.
 */
final class ServiceExecution implements ServiceAnswer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final Duration RETRY_ELSEWHERE = Duration.ofSeconds(1);
    /** Largest body that is kept for the ledger; the ledger itself may record less. */
    private static final int MAX_RECORDED_BYTES = 64 * 1024;

    private final ServiceContext context;
    private final Start start;
    private final RunAnswer answer;
    private final String runId;
    private final StepGuard steps;
    private final Object lock = new Object();
    private ByteString.@Nullable Output recorded = ByteString.newOutput();
    private @Nullable AnswerHead head;
    private String attemptId = "";
    private boolean turnTaken;
    private boolean handedOver;
    /** Whether the run has been told that it did not run; it is not handed over any more. */
    private boolean withdrawn;

    private boolean ended;

    ServiceExecution(ServiceContext context, RunId id, Start start, RunAnswer answer) {
        this.context = context;
        this.start = start;
        this.answer = answer;
        this.steps = new StepGuard(start.getRequestId(), context.upstreamId(), this::fail);
        this.runId = RunIds.text(id);
    }

    // Before the run

    void begin() {
        steps.run(this::enqueue);
    }

    private void enqueue() {
        answer.onCancel(() -> steps.run(this::cancel));
        answer.onStop(() -> steps.run(this::stop));
        QueuedRun queued = new QueuedRun(
                runId,
                start.getAccountId(),
                start.getWeight(),
                start.getFreeTier(),
                1,
                context.time().monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(start.getDeadlineMillis()),
                start.getSuspect(),
                () -> steps.run(this::takeTurn),
                this::refuse);
        context.queue().offer(queued).ifPresent(this::refuse);
    }

    private void takeTurn() {
        synchronized (lock) {
            turnTaken = true;
            if (ended) {
                context.queue().finished(runId, 0);
                return;
            }
        }
        if (start.getIdempotent()) {
            run();
        } else {
            context.ledger()
                    .begin(intent())
                    .whenComplete((decision, failure) -> steps.run(() -> {
                        if (failure == null) {
                            decide(decision);
                        } else {
                            fail(failure);
                        }
                    }));
        }
    }

    private IntentRequest intent() {
        ServiceTarget target = start.getService();
        byte[] hash = Hashing.sha256()
                .newHasher()
                .putString(target.getMethod() + " " + target.getPath() + "\n", StandardCharsets.UTF_8)
                .putBytes(start.getBody().toByteArray())
                .hash()
                .asBytes();
        return new IntentRequest(
                target.getService(), start.getAccountId(), start.getIdempotencyKey(), ByteString.copyFrom(hash));
    }

    private void decide(IntentDecision decision) {
        if (decision instanceof IntentDecision.Run run) {
            boolean gone;
            synchronized (lock) {
                attemptId = run.attemptId();
                gone = ended;
            }
            if (gone) {
                context.ledger().cancel(intent(), run.attemptId());
            } else {
                run();
            }
        } else if (decision instanceof IntentDecision.Recorded earlier) {
            context.gate().beforeRun(start).ifPresentOrElse(this::refuse, () -> replay(earlier.outcome()));
        } else if (decision instanceof IntentDecision.Refused refused) {
            refuse(refused.refusal());
        }
    }

    private void replay(Outcome outcome) {
        AnswerHead.Builder replayed =
                AnswerHead.newBuilder().setStatus(outcome.getStatus()).setUpstreamId(context.upstreamId());
        outcome.getHeadersList()
                .forEach(h -> replayed.addHeaders(
                        Header.newBuilder().setName(h.getName()).setValue(h.getValue())));
        replayed.addHeaders(Header.newBuilder().setName("idempotent-replayed").setValue("true"));
        answer.head(replayed.build());
        answer.chunk(outcome.getBody(), 0);
        finish(AnswerEnds.done(context.upstreamId()));
    }

    // The run

    private void run() {
        Optional<Refusal> refused = context.gate().beforeRun(start);
        boolean gone;
        synchronized (lock) {
            gone = ended || withdrawn;
            handedOver = !gone && refused.isEmpty();
        }
        if (gone || refused.isPresent()) {
            releaseIntent();
            refused.ifPresent(this::refuse);
            return;
        }
        ServiceTarget target = start.getService();
        List<Map.Entry<String, String>> headers = target.getHeadersList().stream()
                .map(h -> Map.entry(h.getName(), h.getValue()))
                .toList();
        context.service()
                .call(new ServiceRequest(target.getMethod(), target.getPath(), headers, start.getBody()), this);
    }

    private void releaseIntent() {
        String attempt;
        synchronized (lock) {
            attempt = attemptId;
            attemptId = "";
        }
        if (!attempt.isEmpty()) {
            context.ledger().cancel(intent(), attempt);
        }
    }

    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {
        steps.run(() -> takeHead(status, headers));
    }

    @Override
    public void onBody(byte[] part) {
        steps.run(() -> takeBody(part));
    }

    @Override
    public void onEnd() {
        steps.runQuietly(this::recordOutcome);
        finish(AnswerEnds.done(context.upstreamId()));
    }

    @Override
    public void onFailure(UpstreamException failure) {
        steps.runQuietly(() -> settleIntent(failure.code().isNotRun()));
        endWith(failure.code(), String.valueOf(failure.getMessage()));
    }

    private void takeHead(int status, List<Map.Entry<String, String>> headers) {
        AnswerHead.Builder builder = AnswerHead.newBuilder().setStatus(status).setUpstreamId(context.upstreamId());
        headers.forEach(
                h -> builder.addHeaders(Header.newBuilder().setName(h.getKey()).setValue(h.getValue())));
        AnswerHead received = builder.build();
        synchronized (lock) {
            head = received;
        }
        answer.head(received);
    }

    private void takeBody(byte[] part) {
        ByteString data = ByteString.copyFrom(part);
        if (!start.getIdempotent()) {
            record(part);
        }
        answer.chunk(data, 0);
    }

    private void record(byte[] part) {
        synchronized (lock) {
            if (recorded != null && recorded.size() + part.length <= MAX_RECORDED_BYTES) {
                recorded.write(part, 0, part.length);
            } else {
                recorded = null;
            }
        }
    }

    /** Records the outcome beside the answer; the answer does not wait for the log. */
    private void recordOutcome() {
        Outcome.Builder outcome =
                Outcome.newBuilder().setAccountId(start.getAccountId()).setIdempotencyKey(start.getIdempotencyKey());
        synchronized (lock) {
            if (attemptId.isEmpty() || head == null) {
                return;
            }
            outcome.setAttemptId(attemptId).setStatus(head.getStatus());
            head.getHeadersList()
                    .forEach(h -> outcome.addHeaders(
                            OutcomeHeader.newBuilder().setName(h.getName()).setValue(h.getValue())));
            if (recorded == null) {
                outcome.setBodyOmitted(true);
            } else {
                outcome.setBody(recorded.toByteString());
            }
        }
        context.ledger()
                .complete(start.getService().getService(), outcome.build())
                .exceptionally(failure -> {
                    logger.atWarning()
                            .with(LogKeys.REQUEST, start.getRequestId())
                            .log("an outcome could not be recorded: %s", failure);
                    return null;
                });
    }

    private void settleIntent(boolean notRun) {
        String attempt;
        synchronized (lock) {
            attempt = attemptId;
        }
        if (notRun) {
            releaseIntent();
        } else if (!attempt.isEmpty()) {
            context.ledger().abandon(intent(), attempt);
        }
    }

    // The end

    /** Keeps the run from being handed over from now on; returns false if it was before. */
    private boolean withdraw() {
        synchronized (lock) {
            withdrawn = !handedOver;
            return withdrawn;
        }
    }

    private void fail(Throwable failure) {
        boolean running = !withdraw();
        steps.log(failure);
        ResultCode code = running ? ResultCode.FAILURE_UNEXPECTED : ResultCode.FAILURE_BEFORE_RUN;
        steps.runQuietly(() -> settleIntent(!running));
        steps.runQuietly(() -> context.queue().cancel(runId));
        endWith(code, code.meaning());
    }

    /** A request that is not idempotent goes on once it was handed over, whether or not its caller waits. */
    private void cancel() {
        boolean running = !withdraw();
        if (running && !start.getIdempotent()) {
            return;
        }
        if (!running) {
            context.queue().cancel(runId);
        }
        ResultCode code = running ? ResultCode.CANCELLED : ResultCode.CALLER_GONE;
        endWith(code, "the caller left");
    }

    /** A run that waits is told that it did not run; one that was handed over is told that it may have. */
    private void stop() {
        boolean running = !withdraw();
        if (running) {
            endWith(ResultCode.SIDE_LOST, "the side stops");
        } else {
            context.queue().cancel(runId);
            Refusal stopping = Refusal.of(ResultCode.PROCESS_STOPPING).withRetryAfter(RETRY_ELSEWHERE);
            refuse(stopping);
        }
    }

    private void refuse(Refusal refusal) {
        finish(AnswerEnds.refused(context.upstreamId(), refusal));
    }

    private void endWith(ResultCode code, String detail) {
        finish(AnswerEnds.failed(context.upstreamId(), code, detail));
    }

    private void finish(AnswerEnd.Builder end) {
        boolean tookTurn;
        synchronized (lock) {
            if (ended) {
                return;
            }
            ended = true;
            tookTurn = turnTaken;
        }
        if (tookTurn) {
            steps.runQuietly(() -> context.queue().finished(runId, 1));
        }
        context.metrics().counter("side.results." + end.getCode()).inc();
        answer.end(end);
    }
}
