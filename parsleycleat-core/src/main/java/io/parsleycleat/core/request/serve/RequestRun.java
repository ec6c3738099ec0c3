package io.parsleycleat.core.request.serve;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.run.RunHandle;
import io.parsleycleat.core.connection.run.RunListener;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.routing.Selection;
import io.parsleycleat.core.request.routing.SelectionRequest;
import io.parsleycleat.core.request.trace.RequestTrace;
import io.parsleycleat.wire.run.AnswerChunk;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import io.parsleycleat.wire.run.Start;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Runs one request: chooses an upstream, starts an attempt there, and starts another one elsewhere where that is safe.
 *
 * <p>Created for each admitted request. Attempts follow one another; its state is guarded by its own lock.
 */
final class RequestRun {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final RunContext context;
    private final RequestConfiguration configuration;
    private final Supplier<CompletableFuture<Either<Refusal, Long>>> renewal;
    private final SelectionRequest selection;
    private final RequestTrace trace;
    private final AnswerSink sink;
    private final long deadlineNanos;
    private final Object lock = new Object();
    private final Set<String> excluded = new HashSet<>();
    private Start template;
    private @Nullable AnswerEnd mayHaveRun;
    private @Nullable RunHandle current;
    private @Nullable ScheduledFuture<?> startTimer;
    private @Nullable ScheduledFuture<?> answerTimer;
    private int attempts;
    private boolean suspect;
    private boolean cancelled;
    private boolean finished;

    RequestRun(
            RunContext context,
            RequestConfiguration configuration,
            Start template,
            Supplier<CompletableFuture<Either<Refusal, Long>>> renewal,
            SelectionRequest selection,
            RequestTrace trace,
            AnswerSink sink) {
        this.context = context;
        this.configuration = configuration;
        this.template = template;
        this.renewal = renewal;
        this.selection = selection;
        this.trace = trace;
        this.sink = sink;
        this.deadlineNanos =
                context.time().monotonicNanos() + selection.deadline().toNanos();
    }

    // Public operations

    /** Starts the first attempt. */
    void start() {
        guard(this::begin);
    }

    private void begin() {
        context.retries().onRequest();
        synchronized (lock) {
            startTimer = context.scheduler()
                    .schedule(() -> guard(this::startTimedOut), Math.max(0, remainingMillis()), TimeUnit.MILLISECONDS);
            answerTimer = context.scheduler()
                    .schedule(
                            () -> guard(this::answerTimedOut),
                            context.maxAnswerTime().toMillis(),
                            TimeUnit.MILLISECONDS);
        }
        attempt();
    }

    /** Tells that the caller has left. */
    void cancel() {
        RunHandle run;
        synchronized (lock) {
            cancelled = true;
            run = current;
        }
        trace.add("cancelled", "the caller left");
        if (run != null) {
            run.cancel("the caller left");
        }
    }

    /** Ends the request since the process ends: as not run, or as one that may have run when it was started. */
    void stop() {
        guard(() -> giveUp(ResultCode.PROCESS_STOPPING, ResultCode.DEADLINE_PASSED, "the entry stops"));
    }

    // Attempts

    private void attempt() {
        SelectionRequest request;
        synchronized (lock) {
            if (cancelled) {
                refuse(Refusal.of(ResultCode.CALLER_GONE));
                return;
            }
            SelectionRequest next =
                    selection.withExcluded(excluded).withDeadline(Duration.ofMillis(Math.max(0, remainingMillis())));
            request = context.suspects().restrict(next, template.getFingerprint());
        }
        Optional<Refusal> quarantined = context.suspects().refusal(template);
        if (quarantined.isPresent()) {
            refuse(quarantined.get());
            return;
        }
        if (remainingMillis() <= 0) {
            refuse(Refusal.of(ResultCode.DEADLINE_UNREACHABLE));
            return;
        }
        context.selector()
                .select(request)
                .whenComplete((chosen, failure) -> guard(() -> {
                    if (failure != null) {
                        refuse(Failures.toRefusal(failure, ResultCode.NO_UPSTREAM));
                    } else {
                        chosen.peekLeft(this::refuse).peek(this::startAt);
                    }
                }));
    }

    private void startAt(Selection chosen) {
        Optional<Refusal> refused = configuration.refusal();
        if (refused.isPresent()) {
            refuse(refused.get());
            return;
        }
        Start start;
        synchronized (lock) {
            if (cancelled || finished) {
                refuse(Refusal.of(ResultCode.CALLER_GONE));
                return;
            }
            attempts++;
            start = template.toBuilder()
                    .setAttempt(attempts)
                    .setSuspect(suspect || context.suspects().isSuspect(template.getFingerprint()))
                    .setDeadlineMillis((int) Math.max(1, remainingMillis()))
                    .build();
        }
        context.suspects().forward(template.getFingerprint(), chosen.side());
        trace.add("selected", chosen.upstreamId() + ": " + chosen.reason());
        context.runs().start(chosen.side().peerAddress(), start, new Attempt(chosen));
    }

    private void opened(RunHandle run) {
        boolean cancelNow;
        synchronized (lock) {
            current = run;
            cancelNow = cancelled;
        }
        if (cancelNow) {
            run.cancel("the caller left");
        }
    }

    private void ended(Selection chosen, AnswerEnd end) {
        if (end.getCode() == ResultCode.DONE.number()) {
            context.suspects().survived(template);
            finish(end);
            return;
        }
        ResultCode code = ResultCode.ofNumber(end.getCode()).orElse(ResultCode.FAILURE_UNEXPECTED);
        trace.add("attempt failed", chosen.upstreamId() + ": " + code.number() + " " + end.getDetail());
        boolean retry;
        synchronized (lock) {
            if (!code.isNotRun()) {
                mayHaveRun = end;
            }
            suspect |= end.getUpstreamCrashed();
            if (code != ResultCode.EPOCH_STALE) {
                excluded.add(chosen.upstreamId());
            }
            current = null;
            retry = !cancelled
                    && !finished
                    && RetryRule.mayRetry(code, configuration.mayRepeat(), sink.isAnswerStarted(), attempts)
                    && (!RetryRule.takesRetry(code) || context.retries().tryRetry());
        }
        if (!retry) {
            finish(end);
        } else if (code == ResultCode.EPOCH_STALE) {
            renewAndAttempt();
        } else {
            sink.onRetry();
            attempt();
        }
    }

    /** Takes the tokens anew in the current epoch; the side that refused is as good as any. */
    private void renewAndAttempt() {
        renewal.get()
                .whenComplete((renewed, failure) -> guard(() -> {
                    if (failure != null) {
                        refuse(Failures.toRefusal(failure, ResultCode.LIMIT_UNAVAILABLE));
                    } else {
                        renewed.peekLeft(this::refuse).peek(this::attemptInEpoch);
                    }
                }));
    }

    private void attemptInEpoch(long epoch) {
        synchronized (lock) {
            template = template.toBuilder().setEscrowEpoch(epoch).build();
        }
        attempt();
    }

    // The end

    /** Runs a step; an unexpected failure ends the request, since nothing else would. */
    private void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            fail(e);
        }
    }

    private void fail(Throwable failure) {
        RunHandle run;
        synchronized (lock) {
            cancelled = true;
            run = current;
        }
        logFailure(failure);
        refuse(Refusal.of(run == null ? ResultCode.FAILURE_BEFORE_RUN : ResultCode.FAILURE_UNEXPECTED));
        if (run != null) {
            run.cancel("an unexpected failure");
        }
    }

    private void logFailure(Throwable failure) {
        logger.atSevere()
                .withCause(failure)
                .with(LogKeys.REQUEST, trace.requestId())
                .log("unexpected failure of a request");
        trace.add("failed", failure.toString());
    }

    private void refuse(Refusal refusal) {
        finish(end(refusal));
    }

    /** Passes the final result on. After an attempt that may have run, the result never says "not run". */
    private void finish(AnswerEnd end) {
        AnswerEnd result = end;
        synchronized (lock) {
            if (finished) {
                return;
            }
            finished = true;
            if (startTimer != null) {
                startTimer.cancel(false);
            }
            if (answerTimer != null) {
                answerTimer.cancel(false);
            }
            boolean notRun =
                    ResultCode.ofNumber(end.getCode()).map(ResultCode::isNotRun).orElse(false);
            if (notRun && mayHaveRun != null) {
                result = mayHaveRun;
            }
        }
        trace.add("ended", result.getCode() + " " + result.getDetail());
        logger.atFine()
                .with(LogKeys.REQUEST, trace.requestId())
                .with(LogKeys.CODE, result.getCode())
                .log("request ended");
        try {
            sink.onEnd(result);
        } catch (RuntimeException | Error e) {
            logFailure(e);
            sink.onBroken();
        }
    }

    /** Ends a request of which no attempt is at a side; nothing starts for it after that. */
    private void startTimedOut() {
        synchronized (lock) {
            if (current != null) {
                return;
            }
            cancelled = true;
        }
        refuse(Refusal.of(ResultCode.DEADLINE_UNREACHABLE));
    }

    private void answerTimedOut() {
        giveUp(ResultCode.DEADLINE_UNREACHABLE, ResultCode.DEADLINE_PASSED, "the answer took too long");
    }

    private void giveUp(ResultCode notStarted, ResultCode started, String reason) {
        RunHandle run;
        synchronized (lock) {
            cancelled = true;
            run = current;
        }
        ResultCode code = run == null ? notStarted : started;
        refuse(Refusal.of(code, code.meaning() + " (" + reason + ")"));
        if (run != null) {
            run.cancel(reason);
        }
    }

    private boolean isFinished() {
        synchronized (lock) {
            return finished;
        }
    }

    private long remainingMillis() {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - context.time().monotonicNanos());
    }

    static AnswerEnd end(Refusal refusal) {
        return AnswerEnd.newBuilder()
                .setCode(refusal.code().number())
                .setDetail(refusal.detail())
                .setRetryAfterMillis(refusal.retry().map(Duration::toMillis).orElse(0L))
                .build();
    }

    /** Passes the answer of one attempt on. */
    private final class Attempt implements RunListener {
        private final Selection chosen;
        private volatile @Nullable RunHandle run;

        Attempt(Selection chosen) {
            this.chosen = chosen;
        }

        @Override
        public void onStart(RunHandle started) {
            run = started;
            opened(started);
        }

        @Override
        public void onHead(AnswerHead head) {
            guard(() -> sink.onHead(head));
        }

        @Override
        public void onChunk(AnswerChunk chunk) {
            RunHandle started = run;
            if (started != null && !isFinished()) {
                guard(() -> sink.onChunk(chunk, started));
            }
        }

        @Override
        public void onEnd(AnswerEnd end) {
            guard(() -> ended(chosen, end));
        }
    }
}
