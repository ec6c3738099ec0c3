package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.netty.util.concurrent.ScheduledFuture;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.ErrorAnswer;
import io.parsleycleat.core.process.common.ReadPass;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.connection.upstream.ResponseListener;
import io.parsleycleat.gateway.connection.upstream.SendFailure;
import io.parsleycleat.gateway.version.routes.RoutingTable;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * One request that was read as a whole, from its last byte to its final answer.
 *
 * <p>It owns the request: every answer goes through it, exactly one of them is the last, and it ends the request itself
 * at the time limit, when the caller leaves, and when an action on the request fails.
 *
 * <p>Created by {@link OpenRequests} for each request. Answers may come from any thread; everything else is done on the
 * event loop, by guarded actions.
 */
final class OpenRequest implements CallerExchange {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final int MIN_REDIRECT_STATUS = 300;
    private static final Refusal NOT_RUN_AT_DEADLINE =
            Refusal.of(ResultCode.DEADLINE_UNREACHABLE).withRetryAfter(ForwardingContext.DEFAULT_RETRY_AFTER);

    private final CallerExchange exchange;
    private final ForwardingContext context;
    private final OpenRequests openRequests;
    private final long arrivalNanos;
    private final AtomicReference<Answered> answered = new AtomicReference<>(Answered.NOTHING);
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile String id = "";
    private volatile Progress progress;
    private volatile boolean wasSent;
    private volatile RequestForwarder.@Nullable Admitted admitted;
    private volatile Duration timeLimit = Duration.ZERO;
    private volatile Runnable refund = () -> {};
    private volatile @Nullable BiConsumer<Refusal, Refusal> work;
    private volatile @Nullable Runnable goneAction;
    private volatile @Nullable ScheduledFuture<?> deadlineTimer;

    /** What a request is waiting for. */
    enum Stage {
        BUDGET("waits for its budget"),
        UPSTREAM("waits for an upstream"),
        ANSWER("waits for the answer"),
        REST_OF_ANSWER("waits for the rest of the answer");

        private final String text;

        Stage(String text) {
            this.text = text;
        }
    }

    /** How much of the answer has left. */
    private enum Answered {
        NOTHING,
        PART,
        WHOLE
    }

    private record Progress(Stage stage, String upstreamId, long sinceNanos) {}

    /** Creates a request that has just arrived. */
    OpenRequest(CallerExchange exchange, ForwardingContext context, OpenRequests openRequests) {
        this.exchange = exchange;
        this.context = context;
        this.openRequests = openRequests;
        this.arrivalNanos = context.time().monotonicNanos();
        this.progress = new Progress(Stage.BUDGET, "", arrivalNanos);
    }

    // Progress

    String id() {
        return id;
    }

    /** Sets the id that the caller chose. */
    void identify(String requestId) {
        id = requestId;
    }

    /** Records what the request waits for from now on, and at which upstream; empty if at none. */
    void enter(Stage stage, String upstreamId) {
        wasSent = wasSent || stage == Stage.ANSWER;
        progress = new Progress(stage, upstreamId, context.time().monotonicNanos());
    }

    /** Returns the upstream that works on the request; empty if none does. */
    String upstreamId() {
        return progress.upstreamId();
    }

    /** Returns what the request waits for and for how long, for logs. */
    String describe() {
        Progress current = progress;
        long millis = TimeUnit.NANOSECONDS.toMillis(context.time().monotonicNanos() - current.sinceNanos());
        return current.stage().text + " for " + millis + " ms";
    }

    /** Returns the time since the last byte of the request was read. */
    Duration age() {
        return Duration.ofNanos(context.time().monotonicNanos() - arrivalNanos);
    }

    /** Returns the time until the final answer is due, also by a planned stop; used once the request is admitted. */
    Duration timeLeft() {
        return openRequests.limitByStop(ownTimeLeft());
    }

    /**
     * Returns the time that an upstream is given: the caller's own, where it set a deadline, since the route's may
     * still grow and the upstream learns by its closed connection when it is over; otherwise the time left.
     */
    Duration upstreamTimeLeft() {
        RequestForwarder.Admitted current = admitted;
        Duration left = current == null
                ? Duration.ZERO
                : current.callerTimeLimit().map(l -> l.minus(age())).orElseGet(this::ownTimeLeft);
        return openRequests.limitByStop(left);
    }

    private Duration ownTimeLeft() {
        return timeLimit().minus(age());
    }

    /**
     * Returns the time from the arrival of the request to its final answer. It is that of its admission, or a longer
     * one that the newest configuration has given its route since, and never shrinks.
     */
    Duration timeLimit() {
        RequestForwarder.Admitted current = admitted;
        if (current != null) {
            Stream.of(current.route(), current.newestRoute(context.configuration()))
                    .map(current::timeLimit)
                    .filter(l -> l.compareTo(timeLimit) > 0)
                    .max(Comparator.naturalOrder())
                    .ifPresent(l -> timeLimit = l);
        }
        return timeLimit;
    }

    /** Returns whether a planned stop leaves the time that such a request usually takes. */
    boolean canEndBeforeStop() {
        RequestForwarder.Admitted current = admitted;
        return current == null || openRequests.canEndBeforeStop(current, ownTimeLeft());
    }

    // Owners

    /** Takes over an event of the caller's connection; called once, at the start. */
    void watchCaller() {
        exchange.onGone(() -> execute(this::onCallerGone));
    }

    /** Ends the request at its time limit from now on, which runs from its arrival. */
    void admit(RequestForwarder.Admitted newAdmitted) {
        admitted = newAdmitted;
        cancelDeadline();
        scheduleDeadline();
    }

    private void scheduleDeadline() {
        Duration limit = timeLimit();
        long millis = Math.max(0, limit.minus(age()).toMillis());
        deadlineTimer = context.loop().schedule(guard(() -> onDeadline(limit)), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends the request, unless its time limit has grown since this deadline was scheduled, or its answer waits in the
     * socket.
     */
    private void onDeadline(Duration scheduledLimit) {
        if (timeLimit().compareTo(scheduledLimit) > 0) {
            scheduleDeadline();
        } else {
            deadlineTimer = ReadPass.thenRun(
                    context.loop(), guard(() -> end(NOT_RUN_AT_DEADLINE, Refusal.of(ResultCode.DEADLINE_PASSED))));
        }
    }

    /** Refunds what was charged if the request ends without having run. */
    void refundIfNotRun(Runnable newRefund) {
        refund = newRefund;
    }

    /**
     * Leaves the answer to what works on the request.
     *
     * @param newWork ends the work at once with a final answer: the first refusal if the request certainly has not run,
     *     else the second
     */
    void setWork(BiConsumer<Refusal, Refusal> newWork) {
        work = newWork;
    }

    // Guard

    /** Executes an action on the event loop; at once if this is it. */
    void execute(Runnable action) {
        Runnable guarded = guard(action);
        if (context.loop().inEventLoop()) {
            guarded.run();
        } else {
            guard(() -> context.loop().execute(guarded)).run();
        }
    }

    /** Returns an action that ends the request with an error if the given one fails. */
    Runnable guard(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException | Error e) {
                onFailure(e);
            }
        };
    }

    /** Returns a receiver of a result that ends the request with an error if the given one fails. */
    <T> BiConsumer<T, Throwable> guard(BiConsumer<T, @Nullable Throwable> receiver) {
        return (result, failure) ->
                guard(() -> receiver.accept(result, failure)).run();
    }

    /** Returns a listener that ends the request with an error if the given one fails. */
    ResponseListener guard(ResponseListener listener) {
        return new ResponseListener() {
            @Override
            public void onHead(ResponseHead head) {
                guard(() -> listener.onHead(head)).run();
            }

            @Override
            public void onBody(ByteString part) {
                guard(() -> listener.onBody(part)).run();
            }

            @Override
            public void onEnd() {
                guard(listener::onEnd).run();
            }

            @Override
            public void onFailure(SendFailure failure) {
                guard(() -> listener.onFailure(failure)).run();
            }
        };
    }

    private void onFailure(Throwable failure) {
        logger.atSevere()
                .withCause(failure)
                .with(LogKeys.REQUEST, id)
                .with(LogKeys.UPSTREAM, upstreamId())
                .log("unexpected failure, request %s", describe());
        context.metrics().onUnexpectedFailure();
        try {
            end(Refusal.of(ResultCode.FAILURE_BEFORE_RUN), Refusal.of(ResultCode.FAILURE_UNEXPECTED));
        } catch (RuntimeException | Error again) {
            logger.atSevere().withCause(again).with(LogKeys.REQUEST, id).log("cannot end the request as usual");
        }
        if (!hasEnded()) {
            endWithoutCodec();
        }
    }

    /** Ends the request with the least that can fail. */
    private void endWithoutCodec() {
        ResultCode code = wasSent ? ResultCode.FAILURE_UNEXPECTED : ResultCode.FAILURE_BEFORE_RUN;
        try {
            if (answered.get() == Answered.PART) {
                context.metrics().onCut();
                abort();
            } else {
                ErrorAnswer.send(this, id, Refusal.of(code));
            }
            context.metrics().onEnd(code, age().toMillis());
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).with(LogKeys.REQUEST, id).log("cannot answer the request");
            exchange.abort();
        } finally {
            onEnded(wasSent);
        }
    }

    // Ends

    boolean hasEnded() {
        return ended.get();
    }

    /** Returns whether nothing of the answer has left and the request was never sent to an upstream. */
    boolean isWaitingForItsFirstSend() {
        return !wasSent && !hasEnded() && answered.get() == Answered.NOTHING;
    }

    /**
     * Ends the request now, unless it has ended. An answer of which a part has left is cut.
     *
     * @param ifNotRun the answer if the request certainly has not run
     * @param ifMayHaveRun the answer if it may have run
     */
    void end(Refusal ifNotRun, Refusal ifMayHaveRun) {
        BiConsumer<Refusal, Refusal> current = work;
        if (hasEnded()) {
            return;
        }
        if (current == null) {
            refuse(ifNotRun);
        } else {
            current.accept(ifNotRun, ifMayHaveRun);
        }
    }

    /** Refuses a request on which nothing works yet. */
    void refuse(Refusal refusal) {
        if (!hasEnded()) {
            openRequests.onRefused(this, refusal);
            context.codec().refuse(this, id, refusal);
            onEnded(false);
        }
    }

    private void onCallerGone() {
        Runnable action = goneAction;
        if (action != null) {
            action.run();
        } else if (!hasEnded()) {
            openRequests.onRefused(this, Refusal.of(ResultCode.CALLER_GONE));
            answered.set(Answered.WHOLE);
            onEnded(false);
        }
    }

    /** Called once the final answer is given or its caller has left; what is still running has no effect any more. */
    void onEnded(boolean mayHaveRun) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        openRequests.remove(this);
        cancelDeadline();
        if (!mayHaveRun) {
            refund.run();
        }
    }

    /** Logs the end of a request on which an upstream was to work. */
    void logEnd(ResultCode code, String detail, String lastUpstreamId, int sendCount) {
        RequestForwarder.Admitted current = Objects.requireNonNull(admitted);
        RoutingTable newest = context.configuration().current().orElse(current.table());
        logger.atInfo()
                .with(LogKeys.REQUEST, id)
                .with(LogKeys.CODE, code.number())
                .with(LogKeys.UPSTREAM, lastUpstreamId)
                .log(
                        "%s in %d ms after %d sends, route %s, time limit %d ms, configuration %d, %d ms old,"
                                + " now %d, %s",
                        detail,
                        age().toMillis(),
                        sendCount,
                        current.route().name(),
                        timeLimit().toMillis(),
                        current.table().version(),
                        current.tableAgeMillis(),
                        newest.version(),
                        describe());
    }

    private void cancelDeadline() {
        ScheduledFuture<?> timer = deadlineTimer;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void recordDuration() {
        RequestForwarder.Admitted current = admitted;
        if (current != null) {
            openRequests.recordDuration(current, age());
        }
    }

    // Answer

    @Override
    public void respond(int status, List<Map.Entry<String, String>> headers, ByteString body) {
        if (answered.compareAndSet(Answered.NOTHING, Answered.WHOLE)) {
            finish(() -> exchange.respond(status, headers, body));
            if (status < MIN_REDIRECT_STATUS) {
                recordDuration();
            }
        }
    }

    /** Gives the last part of the answer; if that fails, the caller learns it by its closed connection. */
    private void finish(Runnable last) {
        try {
            last.run();
        } catch (RuntimeException | Error e) {
            exchange.abort();
            throw e;
        }
    }

    @Override
    public void start(int status, List<Map.Entry<String, String>> headers) {
        if (answered.compareAndSet(Answered.NOTHING, Answered.PART)) {
            exchange.start(status, headers);
        }
    }

    @Override
    public void write(ByteString part, Runnable written) {
        exchange.write(part, () -> execute(written));
    }

    @Override
    public void end() {
        if (answered.compareAndSet(Answered.PART, Answered.WHOLE)) {
            finish(exchange::end);
            recordDuration();
        }
    }

    @Override
    public void abort() {
        if (answered.getAndSet(Answered.WHOLE) != Answered.WHOLE) {
            exchange.abort();
        }
    }

    /** Sets what happens on the event loop when the caller leaves before the end. */
    @Override
    public void onGone(Runnable action) {
        goneAction = action;
    }
}
