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
    private static final Duration QUIET_INTERVAL = Duration.ofMillis(500);
    private static final Duration CHANGING_INTERVAL = Duration.ofMillis(40);
    private static final Duration STEP_INTERVAL = Duration.ofMillis(50);
    /** Engines answer orders immediately. No other order is sent while one awaits its answer, and requests wait. */
    private static final Duration ANSWER_LIMIT = Duration.ofMillis(100);

    private static final Duration FENCE_RETRY = Duration.ofMillis(500);
    private static final int FAILURES_UNTIL_OUT = 2;

    private final EngineGate gate;
    private final EngineControl engine;
    private final FencingTokenSource fences;
    private final Supplier<Optional<String>> healthPath;
    private final ScheduledExecutorService thread;
    private final TimeSource time;
    private final Runnable afterStep;
    private boolean calling;
    private boolean reportNeeded = true;
    private long lastReportNanos;
    private long born = -1;
    private @Nullable String engineId;
    private int failures;
    private long fence = -1;
    private boolean fenceAsked;

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
     * @param thread a single-threaded scheduler
     * @param afterStep called in each step, after expired requests were refused
     */
    public OrderLoop(
            EngineGate gate,
            EngineControl engine,
            FencingTokenSource fences,
            Supplier<Optional<String>> healthPath,
            ScheduledExecutorService thread,
            TimeSource time,
            Runnable afterStep) {
        this.gate = gate;
        this.engine = engine;
        this.fences = fences;
        this.healthPath = healthPath;
        this.thread = thread;
        this.time = time;
        this.afterStep = afterStep;
    }

    /** Requests a fencing token and starts the periodic steps. */
    public void start() {
        askFence();
        thread.scheduleWithFixedDelay(this::step, 0, STEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Runs a step as soon as possible, to send an order if one is needed. */
    public void wake() {
        thread.execute(this::step);
    }

    // Steps, which run on the scheduler's thread

    private void step() {
        gate.refuseExpired();
        afterStep.run();
        if (calling) {
            return;
        }
        if (!reportNeeded && fence >= 0) {
            Optional<ModelOrder> order = gate.nextOrder(fence);
            if (order.isPresent()) {
                give(order.get());
                return;
            }
        }
        long interval = (gate.needsFrequentReports() ? CHANGING_INTERVAL : QUIET_INTERVAL).toNanos();
        if (reportNeeded || time.monotonicNanos() - lastReportNanos > interval) {
            readReport();
        }
    }

    private void give(ModelOrder order) {
        calling = true;
        CompletableFuture<ModelOrder.Outcome> answer = engine.sendOrder(order);
        thread.schedule(
                () -> answer.complete(ModelOrder.Outcome.UNKNOWN), ANSWER_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        answer.whenCompleteAsync(
                (outcome, failure) -> {
                    calling = false;
                    reportNeeded = true;
                    ordered(order, failure == null ? outcome : ModelOrder.Outcome.UNKNOWN);
                    step();
                },
                thread);
    }

    private void ordered(ModelOrder order, ModelOrder.Outcome outcome) {
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
            fence = -1;
            askFence();
        }
        if (outcome == ModelOrder.Outcome.WRONG_ENGINE) {
            engineId = null;
        }
    }

    private void readReport() {
        calling = true;
        lastReportNanos = time.monotonicNanos();
        engine.fetchReport()
                .whenCompleteAsync(
                        (report, failure) -> {
                            calling = false;
                            if (failure == null) {
                                reported(report);
                            } else {
                                failed(Failures.unwrap(failure));
                            }
                        },
                        thread);
    }

    private void reported(EngineReport report) {
        failures = 0;
        if (report.startedAtMillis() != born) {
            logger.atInfo().log(
                    "engine started at %d, %d orders accepted", report.startedAtMillis(), report.acceptedOrders());
            born = report.startedAtMillis();
            engineId = null;
        }
        String id = engineId;
        if (id == null) {
            readId(report);
        } else {
            reportNeeded = false;
            gate.onReport(report, id);
            step();
        }
    }

    private void readId(EngineReport report) {
        Optional<String> path = healthPath.get();
        if (path.isEmpty()) {
            return;
        }
        calling = true;
        engine.fetchEngineId(path.get())
                .whenCompleteAsync(
                        (id, failure) -> {
                            calling = false;
                            if (failure == null) {
                                logger.atInfo().with(LogKeys.UPSTREAM, id).log("engine answers as %s", id);
                                engineId = id;
                                reported(report);
                            } else {
                                failed(Failures.unwrap(failure));
                            }
                        },
                        thread);
    }

    private void failed(Throwable failure) {
        failures++;
        reportNeeded = true;
        if (failures == FAILURES_UNTIL_OUT) {
            logger.atWarning().log("engine does not answer: %s", failure);
            gate.onEngineUnreachable();
        }
    }

    private void askFence() {
        if (fenceAsked) {
            return;
        }
        fenceAsked = true;
        fences.next()
                .whenCompleteAsync(
                        (number, failure) -> {
                            fenceAsked = false;
                            if (failure == null) {
                                logger.atInfo().log("fencing number %d", number);
                                fence = number;
                                step();
                            } else {
                                logger.atWarning().log("no fencing number: %s", Failures.unwrap(failure));
                                thread.schedule(this::askFence, FENCE_RETRY.toMillis(), TimeUnit.MILLISECONDS);
                            }
                        },
                        thread);
    }
}
