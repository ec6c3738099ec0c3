package io.parsleycleat.gateway.process.gate;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Fetches the engine's reports and sends the gate's orders, one call at a time.
 *
 * <p>Each order carries a fencing token from the store; without a token no order is sent. A report is fetched after
 * each order, since the next order must contain the number of accepted orders.
 *
 * <p>One instance per side; all steps run on the scheduler's single thread.
 */
public final class OrderLoop {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration IDLE_REPORT_INTERVAL = Duration.ofMillis(500);
    private static final Duration ACTIVE_REPORT_INTERVAL = Duration.ofMillis(40);
    private static final Duration STEP_INTERVAL = Duration.ofMillis(50);
    /** Engines answer orders immediately. No other order is sent while one awaits its answer, and requests wait. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(100);

    private static final Duration FENCING_TOKEN_RETRY_INTERVAL = Duration.ofMillis(500);
    private static final int FAILURES_UNTIL_UNREACHABLE = 2;
    /** Time since the last report from which a silent engine counts as unreachable; sound engines pause for less. */
    private static final Duration MAX_SILENCE = Duration.ofMillis(2_500);

    private final EngineGate gate;
    private final EngineControl engine;
    private final FencingTokenSource fencingTokens;
    private final Supplier<Optional<String>> healthPath;
    private final ScheduledExecutorService scheduler;
    private final TimeSource time;
    private final Runnable afterStep;
    private boolean callInProgress;
    private boolean reportNeeded = true;
    private long lastReportNanos;
    private long engineStartedAtMillis = -1;
    private @Nullable String engineId;
    private int consecutiveFailures;
    private long lastAnswerNanos;
    private long fencingToken = -1;
    private boolean fencingTokenRequested;

    /** Issues fencing tokens, each higher than all previous ones. Implementations are thread-safe. */
    @FunctionalInterface
    public interface FencingTokenSource {
        /** Issues the next token. */
        CompletableFuture<Long> next();
    }

    /**
     * Creates a loop without starting it.
     *
     * @param healthPath returns the path of the health check, or nothing until the configuration is known
     * @param scheduler a single-threaded scheduler
     * @param afterStep called in each step, after expired requests were refused
     */
    public OrderLoop(
            EngineGate gate,
            EngineControl engine,
            FencingTokenSource fencingTokens,
            Supplier<Optional<String>> healthPath,
            ScheduledExecutorService scheduler,
            TimeSource time,
            Runnable afterStep) {
        this.gate = gate;
        this.engine = engine;
        this.fencingTokens = fencingTokens;
        this.healthPath = healthPath;
        this.scheduler = scheduler;
        this.time = time;
        this.afterStep = afterStep;
    }

    /** Requests a fencing token and starts the periodic steps. */
    public void start() {
        requestFencingToken();
        scheduler.scheduleWithFixedDelay(this::step, 0, STEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Runs a step as soon as possible, to send an order if one is needed. */
    public void wake() {
        scheduler.execute(this::step);
    }

    // Steps, which run on the scheduler's thread

    private void step() {
        guard(this::runStep);
    }

    /** Logs what a part of the loop throws, so that the steps behind it follow all the same. */
    private static void guard(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            logger.atSevere().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log("a step failed; the next one follows");
        }
    }

    /** Starts a call. One that throws is a failed call like any other. */
    private static <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> work) {
        try {
            return work.get();
        } catch (RuntimeException | Error e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void runStep() {
        gate.refuseExpired();
        afterStep.run();
        if (callInProgress) {
            return;
        }
        if (!reportNeeded && fencingToken >= 0) {
            Optional<ModelOrder> order = gate.nextOrder(fencingToken);
            if (order.isPresent()) {
                sendOrder(order.get());
                return;
            }
        }
        long interval = (gate.needsFrequentReports() ? ACTIVE_REPORT_INTERVAL : IDLE_REPORT_INTERVAL).toNanos();
        if (reportNeeded || time.monotonicNanos() - lastReportNanos > interval) {
            fetchReport();
        }
    }

    private void sendOrder(ModelOrder order) {
        callInProgress = true;
        CompletableFuture<ModelOrder.Outcome> answer = call(() -> engine.sendOrder(order));
        scheduler.schedule(
                () -> answer.complete(ModelOrder.Outcome.UNKNOWN), ORDER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        answer.whenCompleteAsync(
                (outcome, failure) -> {
                    callInProgress = false;
                    reportNeeded = true;
                    guard(() -> onOrderOutcome(order, failure == null ? outcome : ModelOrder.Outcome.UNKNOWN));
                    step();
                },
                scheduler);
    }

    private void onOrderOutcome(ModelOrder order, ModelOrder.Outcome outcome) {
        logger.atInfo()
                .with(LogKeys.UPSTREAM, order.engineId())
                .with(LogKeys.ADAPTER, order.target().toString())
                .log(
                        "%s version %d after %d orders with fence %d: %s",
                        order.operation(),
                        order.version(),
                        order.expectedAcceptedOrders(),
                        order.fencingToken(),
                        outcome);
        gate.onOrderOutcome(order, outcome);
        if (outcome == ModelOrder.Outcome.FENCED) {
            fencingToken = -1;
            requestFencingToken();
        }
        if (outcome == ModelOrder.Outcome.WRONG_ENGINE) {
            forgetEngineId();
        }
    }

    /** Grants nothing more for the start that is over, until the id of the present one is known. */
    private void forgetEngineId() {
        engineId = null;
        gate.onEngineSilent();
    }

    private void fetchReport() {
        callInProgress = true;
        lastReportNanos = time.monotonicNanos();
        call(engine::fetchReport)
                .whenCompleteAsync(
                        (report, failure) -> {
                            callInProgress = false;
                            if (failure == null) {
                                guard(() -> onReport(report));
                            } else {
                                guard(() -> onCallFailure(Failures.unwrap(failure)));
                            }
                        },
                        scheduler);
    }

    private void onReport(EngineReport report) {
        consecutiveFailures = 0;
        lastAnswerNanos = time.monotonicNanos();
        if (report.startedAtMillis() != engineStartedAtMillis) {
            logger.atInfo().log(
                    "engine started at %d, %d orders accepted", report.startedAtMillis(), report.acceptedOrders());
            engineStartedAtMillis = report.startedAtMillis();
            forgetEngineId();
        }
        String id = engineId;
        if (id == null) {
            fetchEngineId(report);
        } else {
            reportNeeded = false;
            gate.onReport(report, id);
            step();
        }
    }

    private void fetchEngineId(EngineReport report) {
        Optional<String> path = healthPath.get();
        if (path.isEmpty()) {
            return;
        }
        callInProgress = true;
        call(() -> engine.fetchEngineId(path.get()))
                .whenCompleteAsync(
                        (id, failure) -> {
                            callInProgress = false;
                            if (failure == null) {
                                logger.atInfo().with(LogKeys.UPSTREAM, id).log("engine id is %s", id);
                                engineId = id;
                                guard(() -> onReport(report));
                            } else {
                                guard(() -> onCallFailure(Failures.unwrap(failure)));
                            }
                        },
                        scheduler);
    }

    private void onCallFailure(Throwable failure) {
        consecutiveFailures++;
        reportNeeded = true;
        if (consecutiveFailures < FAILURES_UNTIL_UNREACHABLE) {
            return;
        }
        if (consecutiveFailures == FAILURES_UNTIL_UNREACHABLE) {
            logger.atWarning().log("engine does not answer: %s", failure);
        }
        if (isShortSilence(failure)) {
            gate.onEngineSilent();
        } else {
            gate.onEngineUnreachable();
        }
    }

    /** Returns whether an engine that answered a short while ago is just silent; it may be sound and go on. */
    private boolean isShortSilence(Throwable failure) {
        return failure instanceof TimeoutException && time.monotonicNanos() - lastAnswerNanos < MAX_SILENCE.toNanos();
    }

    private void requestFencingToken() {
        if (fencingTokenRequested) {
            return;
        }
        fencingTokenRequested = true;
        call(fencingTokens::next)
                .whenCompleteAsync(
                        (number, failure) -> {
                            fencingTokenRequested = false;
                            if (failure == null) {
                                logger.atInfo().log("fencing number %d", number);
                                fencingToken = number;
                                step();
                            } else {
                                logger.atWarning().log(
                                        "could not get a fencing number, will retry: %s", Failures.unwrap(failure));
                                scheduler.schedule(
                                        this::requestFencingToken,
                                        FENCING_TOKEN_RETRY_INTERVAL.toMillis(),
                                        TimeUnit.MILLISECONDS);
                            }
                        },
                        scheduler);
    }
}
