package io.parsleycleat.core.request.serve;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.ErrorAnswer;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.trace.RequestTrace;
import io.parsleycleat.wire.operators.ExplainEvent;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * One request that was read as a whole, until its answer has ended or its caller has left. What fails unexpectedly
 * before the request runs ends it with a numbered error. Calls after the end have no effect.
 *
 * <p>Created by {@link RequestService} for each request; safe to share between threads.
 */
final class OpenRequest implements CallerExchange {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final CallerExchange exchange;
    private final RequestTrace trace;
    private final long arrivalNanos;
    private final Consumer<OpenRequest> whenEnded;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Object stopLock = new Object();
    private volatile boolean started;
    private Runnable stopAction = () -> {};
    private boolean stopped;

    /**
     * Creates a request that does not watch its caller yet.
     *
     * @param arrivalNanos monotonic time at which the request was read as a whole
     * @param whenEnded called once, at the end of the answer or when the caller has left
     */
    OpenRequest(CallerExchange exchange, RequestTrace trace, long arrivalNanos, Consumer<OpenRequest> whenEnded) {
        this.exchange = exchange;
        this.trace = trace;
        this.arrivalNanos = arrivalNanos;
        this.whenEnded = whenEnded;
    }

    /** Starts to watch whether the caller leaves. */
    void watch() {
        exchange.onGone(this::finish);
    }

    /** Returns the time since the request was read as a whole. */
    Duration age(TimeSource time) {
        return Duration.ofNanos(time.monotonicNanos() - arrivalNanos);
    }

    /** Runs a step before the run of the request; an unexpected failure ends the request. */
    void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            fail(e);
        }
    }

    /** Logs an unexpected failure before the run of the request, and ends the request with it. */
    void fail(Throwable failure) {
        logger.atSevere()
                .withCause(failure)
                .with(LogKeys.REQUEST, trace.requestId())
                .log("unexpected failure before a request ran");
        trace.add("failed", failure.toString());
        if (started) {
            abort();
        } else {
            ErrorAnswer.send(this, trace.requestId(), Refusal.of(ResultCode.FAILURE_BEFORE_RUN));
        }
    }

    // Stop

    /** Sets what ends the request at the end of a stop; runs it at once when that has come already. */
    void onStop(Runnable action) {
        synchronized (stopLock) {
            if (!stopped) {
                stopAction = action;
                return;
            }
        }
        guard(action);
    }

    /** Ends the request since the process ends. */
    void stop() {
        Runnable action;
        synchronized (stopLock) {
            stopped = true;
            action = stopAction;
        }
        guard(action);
    }

    /** Returns the request's id. */
    String id() {
        return trace.requestId();
    }

    /** Returns the last decision about the request, for logs. */
    String lastStep() {
        List<ExplainEvent> events = trace.events();
        ExplainEvent last = events.isEmpty() ? ExplainEvent.getDefaultInstance() : events.get(events.size() - 1);
        return last.getStep() + " " + last.getDetail();
    }

    // Answer

    @Override
    public void respond(int status, List<Map.Entry<String, String>> headers, ByteString body) {
        if (!ended.get()) {
            exchange.respond(status, headers, body);
            finish();
        }
    }

    @Override
    public void start(int status, List<Map.Entry<String, String>> headers) {
        started = true;
        exchange.start(status, headers);
    }

    @Override
    public void write(ByteString part, Runnable written) {
        exchange.write(part, written);
    }

    @Override
    public void end() {
        if (!ended.get()) {
            exchange.end();
            finish();
        }
    }

    @Override
    public void abort() {
        if (!ended.get()) {
            exchange.abort();
            finish();
        }
    }

    @Override
    public void onGone(Runnable action) {
        exchange.onGone(action);
    }

    private void finish() {
        if (ended.compareAndSet(false, true)) {
            whenEnded.accept(this);
        }
    }
}
