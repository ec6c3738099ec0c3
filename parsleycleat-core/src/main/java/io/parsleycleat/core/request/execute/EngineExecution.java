package io.parsleycleat.core.request.execute;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.run.RunAnswer;
import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.connection.upstream.EngineAnswer;
import io.parsleycleat.core.connection.upstream.EngineHandle;
import io.parsleycleat.core.connection.upstream.EngineRun;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.result.UpstreamException;
import io.parsleycleat.core.process.slots.LoadPriority;
import io.parsleycleat.core.process.slots.Pin;
import io.parsleycleat.core.process.slots.PinRequest;
import io.parsleycleat.core.request.queue.QueuedRun;
import io.parsleycleat.wire.outcome.RunningRequest;
import io.parsleycleat.wire.run.AdapterTarget;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import io.parsleycleat.wire.run.RunId;
import io.parsleycleat.wire.run.Start;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One run on a model engine: it gets its adapter pinned and its turn, runs, and is resumed when the engine's answer
 * breaks off.
 *
 * <p>Paying runs pin their adapter while they wait, so that it is not evicted before their turn. Runs of the free tier
 * pin theirs at their turn only, so that waiting ones hold no slot.
 *
 * <p>Created by {@link RunExecutor} for each run; guarded by its own lock.
 */
final class EngineExecution implements EngineAnswer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration RETRY_ELSEWHERE = Duration.ofSeconds(1);
    private static final int MAX_RESUMES = 2;
    private static final int STATUS_OK = 200;

    private final EngineContext context;
    private final Start start;
    private final RunAnswer answer;
    private final String runId;
    private final AdapterVersion adapter;
    private final long deadlineNanos;
    private final StepGuard steps;
    private final Object lock = new Object();
    private @Nullable Pin pin;
    private @Nullable EngineHandle handle;
    private boolean turnTaken;
    private boolean handedOver;
    /** Whether the run has been told that it did not run; it is not handed over any more. */
    private boolean withdrawn;

    private boolean ended;
    private long nextToken;
    private int resumes;

    EngineExecution(EngineContext context, RunId id, Start start, RunAnswer answer) {
        this.context = context;
        this.start = start;
        this.answer = answer;
        this.steps = new StepGuard(start.getRequestId(), context.upstreamId(), this::fail);
        this.runId = RunIds.text(id);
        this.adapter = new AdapterVersion(
                start.getAdapter().getAdapterId(), start.getAdapter().getVersion());
        this.deadlineNanos = context.time().monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(start.getDeadlineMillis());
    }

    // Before the run

    void begin() {
        steps.run(this::admit);
    }

    private void admit() {
        answer.onCancel(() -> steps.run(this::cancel));
        answer.onStop(() -> steps.run(this::stop));
        if (start.getFreeTier()) {
            enqueue();
            return;
        }
        context.slots()
                .pin(pinRequest(LoadPriority.PAYING))
                .whenComplete((pinned, failure) -> steps.run(() -> {
                    if (failure != null) {
                        refuse(Failures.toRefusal(failure, ResultCode.LOAD_FAILED));
                    } else if (keep(pinned)) {
                        enqueue();
                    }
                }));
    }

    private PinRequest pinRequest(LoadPriority priority) {
        return new PinRequest(adapter, priority, start.getAccountId(), Math.max(1, start.getWeight()), deadlineNanos);
    }

    private void enqueue() {
        AdapterTarget target = start.getAdapter();
        QueuedRun queued = new QueuedRun(
                runId,
                start.getAccountId(),
                start.getWeight(),
                start.getFreeTier(),
                target.getPromptTokens() + target.getMaxTokens(),
                deadlineNanos,
                start.getSuspect() || context.suspects().isSuspect(start.getFingerprint()),
                () -> steps.run(this::takeTurn),
                this::refuse);
        context.queue().offer(queued).ifPresent(this::refuse);
    }

    private void takeTurn() {
        Pin held;
        synchronized (lock) {
            turnTaken = true;
            held = pin;
            if (ended) {
                context.queue().finished(runId, 0);
                return;
            }
        }
        if (held != null && held.isCurrent()) {
            run();
            return;
        }
        LoadPriority priority = start.getFreeTier() ? LoadPriority.FREE : LoadPriority.PAYING;
        context.slots()
                .pin(pinRequest(priority))
                .whenComplete((pinned, failure) -> steps.run(() -> {
                    if (failure != null) {
                        refuse(Failures.toRefusal(failure, ResultCode.LOAD_FAILED));
                    } else if (keep(pinned)) {
                        run();
                    }
                }));
    }

    /** Remembers a pin in place of an earlier one; returns false and lets it go when the run has ended meanwhile. */
    private boolean keep(Pin pinned) {
        Pin before;
        synchronized (lock) {
            if (ended) {
                before = pinned;
            } else {
                before = pin;
                pin = pinned;
            }
        }
        if (before != null) {
            before.release();
        }
        return before != pinned;
    }

    // The run

    private void run() {
        Optional<Refusal> refused = context.gate().beforeRun(start);
        if (refused.isPresent()) {
            refuse(refused.get());
            return;
        }
        synchronized (lock) {
            if (ended || withdrawn) {
                return;
            }
            handedOver = true;
        }
        RunningRequest running = RunningRequest.newBuilder()
                .setFingerprint(start.getFingerprint())
                .setPrefixHash(start.getAdapter().getPrefixHash())
                .build();
        context.crashes().started(runId, running);
        context.prefixes().note(adapter.adapterId(), start.getAdapter().getPrefixHash());
        answer.head(AnswerHead.newBuilder()
                .setStatus(STATUS_OK)
                .setUpstreamId(context.upstreamId())
                .build());
        EngineRun run = new EngineRun(
                runId,
                adapter,
                start.getAdapter().getChat(),
                start.getBody().toStringUtf8(),
                start.getAdapter().getMaxTokens(),
                start.getFreeTier() ? EngineRun.PRIORITY_FREE : EngineRun.PRIORITY_PAYING);
        remember(context.engine().run(run, this));
    }

    private void remember(EngineHandle started) {
        boolean detach;
        synchronized (lock) {
            handle = started;
            detach = ended;
        }
        if (detach) {
            started.detach();
        }
    }

    @Override
    public void onToken(long index, String text) {
        steps.run(() -> takeToken(index, text));
    }

    @Override
    public void onEnd(String finishReason, int promptTokens, int generatedTokens) {
        steps.run(() -> takeEnd(finishReason, promptTokens, generatedTokens));
    }

    @Override
    public void onFailure(UpstreamException failure) {
        steps.run(() -> takeFailure(failure));
    }

    private void takeToken(long index, String text) {
        boolean gap;
        synchronized (lock) {
            if (ended || index < nextToken) {
                return;
            }
            gap = index > nextToken;
            if (!gap) {
                nextToken++;
                resumes = 0;
            }
        }
        if (gap) {
            breakOff(ResultCode.ANSWER_INCOMPLETE, "the engine left out a token before " + index);
        } else {
            answer.chunk(ByteString.copyFromUtf8(text), 1);
        }
    }

    private void takeEnd(String finishReason, int promptTokens, int generatedTokens) {
        boolean whole;
        synchronized (lock) {
            whole = generatedTokens == nextToken;
        }
        if (!whole) {
            breakOff(ResultCode.ANSWER_INCOMPLETE, "the engine's answer is shorter than its count");
            return;
        }
        steps.runQuietly(() -> context.suspects()
                .survived(start.getFingerprint(), start.getAdapter().getPrefixHash()));
        finish(AnswerEnds.done(context.upstreamId())
                .setFinishReason(finishReason)
                .setPromptTokens(promptTokens)
                .setGeneratedTokens(generatedTokens));
    }

    private void takeFailure(UpstreamException failure) {
        if (failure.code().isNotRun()) {
            endWith(failure.code(), String.valueOf(failure.getMessage()));
            return;
        }
        context.crashes()
                .examine(runId)
                .whenComplete((verdict, unknown) -> steps.run(() -> {
                    if (unknown != null) {
                        steps.log(unknown);
                        resume(String.valueOf(failure.getMessage()));
                    } else if (verdict.crashed()) {
                        finish(AnswerEnds.failed(
                                        context.upstreamId(), ResultCode.UPSTREAM_CRASHED, "the engine crashed")
                                .setUpstreamCrashed(true)
                                .addAllCrashedFingerprints(verdict.fingerprints()));
                    } else {
                        resume(String.valueOf(failure.getMessage()));
                    }
                }));
    }

    private void resume(String detail) {
        long from;
        synchronized (lock) {
            if (ended) {
                return;
            }
            resumes++;
            from = resumes > MAX_RESUMES ? -1 : nextToken;
        }
        if (from < 0) {
            endWith(ResultCode.UPSTREAM_LOST, detail);
            return;
        }
        logger.atInfo()
                .with(LogKeys.REQUEST, start.getRequestId())
                .with(LogKeys.UPSTREAM, context.upstreamId())
                .log("resuming an answer at token %d", from);
        remember(context.engine().resume(runId, from, new ResumedAnswer()));
    }

    private void breakOff(ResultCode code, String detail) {
        context.engine().cancel(runId);
        endWith(code, detail);
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
        steps.runQuietly(() -> {
            if (running) {
                context.engine().cancel(runId);
            } else {
                context.queue().cancel(runId);
            }
        });
        endWith(code, code.meaning());
    }

    private void cancel() {
        boolean running = !withdraw();
        if (running) {
            context.engine().cancel(runId);
            endWith(ResultCode.CANCELLED, "the caller left");
        } else {
            context.queue().cancel(runId);
            endWith(ResultCode.CALLER_GONE, "the caller left");
        }
    }

    /** A run that waits is told that it did not run; one that was handed over is told that it may have. */
    private void stop() {
        boolean running = !withdraw();
        if (running) {
            steps.runQuietly(() -> context.engine().cancel(runId));
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
        Pin held;
        EngineHandle open;
        boolean tookTurn;
        int generated;
        synchronized (lock) {
            if (ended) {
                return;
            }
            ended = true;
            held = pin;
            open = handle;
            tookTurn = turnTaken;
            generated = (int) nextToken;
        }
        int tokens = start.getAdapter().getPromptTokens() + generated;
        if (open != null) {
            steps.runQuietly(open::detach);
        }
        steps.runQuietly(() -> context.crashes().ended(runId));
        if (held != null) {
            steps.runQuietly(held::release);
        }
        if (tookTurn) {
            steps.runQuietly(() -> context.queue().finished(runId, tokens));
        }
        context.metrics().counter("side.results." + end.getCode()).inc();
        answer.end(end);
    }

    /** A resumed answer; a refusal to resume leaves the run broken off rather than not run. */
    private final class ResumedAnswer implements EngineAnswer {
        @Override
        public void onToken(long index, String text) {
            EngineExecution.this.onToken(index, text);
        }

        @Override
        public void onEnd(String finishReason, int promptTokens, int generatedTokens) {
            EngineExecution.this.onEnd(finishReason, promptTokens, generatedTokens);
        }

        @Override
        public void onFailure(UpstreamException failure) {
            String detail = String.valueOf(failure.getMessage());
            if (failure.code().isNotRun()) {
                endWith(ResultCode.UPSTREAM_LOST, detail);
            } else {
                steps.run(() -> resume(detail));
            }
        }
    }
}
