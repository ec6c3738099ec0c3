package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.netty.util.concurrent.ScheduledFuture;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.connection.upstream.SendFailure;
import io.parsleycleat.gateway.request.events.EventSplitter;
import io.parsleycleat.gateway.version.routes.Account;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.routes.Route;
import io.parsleycleat.gateway.version.routes.ServiceSpec;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one admitted request: sends it to an upstream, retries where that is allowed, and answers the caller.
 *
 * <p>Created by {@link RequestForwarder} for each request; used on the event loop.
 */
final class Forwarding implements Attempt.Outcome {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long before the caller's deadline the final answer is sent. */
    private static final Duration DEADLINE_MARGIN = Duration.ofMillis(20);

    /** The shortest time between two checks for a silent upstream, since each check wakes the process. */
    private static final Duration MIN_CHECK_GAP = Duration.ofMillis(100);
    /** Time without bytes on any connection of an upstream after which a resumable stream is sent to another one. */
    private static final Duration UPSTREAM_SILENCE = Duration.ofMillis(800);
    /** Time without an answer's head after which an idempotent request is sent elsewhere, in route objectives. */
    private static final double HEAD_OBJECTIVES = 1.3;

    private static final Duration RETRY_SOON = Duration.ofMillis(300);
    private static final int MAX_SENDS = 4;
    private static final int MAX_COLLECTED_BYTES = 1024 * 1024;
    private static final int STATUS_SERVER_ERROR = 500;
    /** Statuses that mean "not run" to callers, and are not passed on for a request that may have run once. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final ForwardingContext parts;
    private final RequestForwarder.Admitted admitted;
    private final ForwardRequest request;
    private final Route route;
    private final String service;
    private final CallerExchange exchange;
    private final Consumer<Boolean> whenDone;
    private final long startNanos;
    private final Duration limit;
    private final Set<String> sentTo = new HashSet<>();
    private final Set<String> avoided = new HashSet<>();
    private int sends;
    private boolean mayHaveRun;
    private boolean done;
    private @Nullable EngineStart starting;
    private @Nullable Attempt attempt;
    private @Nullable ResponseHead wholeHead;
    private ByteString collected = ByteString.EMPTY;
    private @Nullable CallerStream stream;
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private @Nullable ScheduledFuture<?> checkTimer;

    /**
     * Creates the forwarding of one request; {@link #start} starts it.
     *
     * @param whenDone called at the end with whether the request may have run
     */
    Forwarding(
            ForwardingContext parts,
            RequestForwarder.Admitted admitted,
            String service,
            CallerExchange exchange,
            Consumer<Boolean> whenDone) {
        this.parts = parts;
        this.admitted = admitted;
        this.request = admitted.request();
        this.route = admitted.route();
        this.service = service;
        this.exchange = exchange;
        this.whenDone = whenDone;
        this.startNanos = parts.time().monotonicNanos();
        this.limit = limit();
    }

    void start() {
        exchange.onGone(() -> parts.loop().execute(this::callerLeft));
        deadlineTimer = parts.loop()
                .schedule(this::deadlinePassed, Math.max(0, timeLeft().toMillis()), TimeUnit.MILLISECONDS);
        next();
    }

    // Sending

    private void next() {
        if (done) {
            return;
        }
        Optional<ServiceSpec> spec = admitted.table().service(service);
        if (spec.isPresent() && spec.get().engine() != null && request.adapter() != null) {
            startOnEngine();
            return;
        }
        Set<String> excluded = new HashSet<>(sentTo);
        excluded.addAll(avoided);
        parts.plain()
                .choose(parts.usable(service), excluded)
                .ifPresentOrElse(
                        u -> send(u, 0, 0),
                        () -> giveUp(Refusal.of(ResultCode.NO_UPSTREAM).withRetryAfter(comeBackAfter())));
    }

    private void startOnEngine() {
        Set<String> excluded = new HashSet<>(avoided);
        excluded.addAll(sentTo);
        EngineStart.Ask ask = new EngineStart.Ask(
                request.id(),
                java.util.Objects.requireNonNull(request.adapter()),
                request.tokens(),
                priority(),
                route.latencyObjective().minus(age()),
                timeLeft());
        EngineStart search = new EngineStart(
                parts,
                ask,
                excluded,
                started -> {
                    starting = null;
                    parts.metrics().onGate(age().toMillis());
                    send(started.engine(), started.ticket(), started.adapterVersion());
                },
                refusal -> {
                    starting = null;
                    giveUp(refusal);
                });
        starting = search;
        search.next(service);
    }

    private void send(Upstream upstream, long ticket, long adapterVersion) {
        sends++;
        sentTo.add(upstream.id());
        parts.metrics().onSend(sends > 1);
        CallerStream current = stream;
        OptionalLong last = current == null ? OptionalLong.empty() : current.lastEventId();
        Long resumeAfter = last.isPresent() ? Long.valueOf(last.getAsLong()) : request.resumeAfterEventId();
        Account account = admitted.account();
        boolean engine = request.adapter() != null;
        Attempt sent = new Attempt(parts, upstream, ticket, request.id(), this);
        attempt = sent;
        sent.send(
                request,
                new SendParameters(
                        upstream,
                        timeLeft(),
                        account == null ? null : account.name(),
                        engine ? priority() : null,
                        adapterVersion,
                        resumeAfter));
        if (checkTimer == null && route.isRetryable()) {
            checkAgainAfter(timeUntilLate(sent));
        }
    }

    private void checkAgainAfter(Duration time) {
        long millis = Math.max(MIN_CHECK_GAP.toMillis(), time.toMillis() + 1);
        checkTimer = parts.loop().schedule(this::check, millis, TimeUnit.MILLISECONDS);
    }

    /** Returns the time until an attempt counts as late if nothing more arrives; zero or negative if it is late. */
    private Duration timeUntilLate(Attempt current) {
        if (route.kind() == RequestKind.STREAM) {
            Duration silence = current.load().timeSinceLastBytes();
            return UPSTREAM_SILENCE.minus(silence.compareTo(current.age()) < 0 ? silence : current.age());
        }
        long limitMillis = (long) (HEAD_OBJECTIVES * route.latencyObjective().toMillis());
        return Duration.ofMillis(limitMillis).minus(current.age());
    }

    /** Sends the request to another upstream if the present one is late. Used only if the request may be repeated. */
    private void check() {
        Attempt current = attempt;
        if (done) {
            return;
        }
        if (current == null || current.isOver()) {
            checkAgainAfter(MIN_CHECK_GAP);
            return;
        }
        boolean hasAnswered = route.kind() != RequestKind.STREAM && current.hasHead();
        Duration left = timeUntilLate(current);
        checkAgainAfter(left);
        boolean late = !hasAnswered && (left.isNegative() || left.isZero());
        if (late && mayGoElsewhere() && parts.retries().tryRetry(service)) {
            logger.atInfo()
                    .with(LogKeys.REQUEST, request.id())
                    .with(LogKeys.UPSTREAM, current.upstream().id())
                    .log("no answer for %d ms; sent elsewhere", current.age().toMillis());
            current.load().onFailure();
            mayHaveRun = true;
            current.cancel();
            again();
        }
    }

    private boolean mayGoElsewhere() {
        return sentTo.size() < route.maxUpstreams() && sends < MAX_SENDS && hasOther();
    }

    private boolean hasOther() {
        return parts.usable(service).stream().anyMatch(u -> !sentTo.contains(u.id()) && !avoided.contains(u.id()));
    }

    /** Returns after which time a caller should retry who is refused because no upstream accepts the request now. */
    private Duration comeBackAfter() {
        boolean anyTakes = !parts.usable(service).isEmpty();
        return anyTakes ? RETRY_SOON : parts.comeBackAfter(service).orElse(RETRY_SOON);
    }

    private void again() {
        CallerStream current = stream;
        if (current != null) {
            current.cut();
        }
        wholeHead = null;
        collected = ByteString.EMPTY;
        next();
    }

    // Outcome of an attempt

    @Override
    public void onHead(Attempt from, ResponseHead head) {
        mayHaveRun = true;
        boolean streams = route.kind() == RequestKind.STREAM && head.isSuccess();
        if (stream != null) {
            if (!head.isSuccess()) {
                from.cancel();
                broken(from, SendFailure.invalidResponse("status " + head.status() + " for the rest of a stream"));
            }
        } else if (streams) {
            exchange.start(head.status(), parts.codec().callerHeaders(head));
            stream = new CallerStream(exchange, route.resumable(), this::onLoop, this::setReading);
        } else {
            wholeHead = head;
        }
    }

    private void onLoop(Runnable action) {
        if (parts.loop().inEventLoop()) {
            action.run();
        } else {
            parts.loop().execute(action);
        }
    }

    private void setReading(boolean reading) {
        Attempt current = attempt;
        if (current != null) {
            current.setReading(reading);
        }
    }

    @Override
    public void onBody(Attempt from, ByteString part) {
        if (done) {
            return;
        }
        CallerStream current = stream;
        if (current != null) {
            if (sends == 1 && current.lastEventId().isEmpty()) {
                parts.metrics().onFirstEvent(age().toMillis());
            }
            current.take(part);
            if (current.isEventTooLong()) {
                from.cancel();
                onFailed(
                        from,
                        SendFailure.invalidResponse("an event above " + EventSplitter.MAX_EVENT_BYTES + " bytes"));
            }
            return;
        }
        collected = collected.concat(part);
        if (collected.size() > MAX_COLLECTED_BYTES) {
            passOn();
        }
    }

    /** Starts to stream an answer that is too large to be buffered as a whole. */
    private void passOn() {
        ResponseHead head = wholeHead;
        if (head != null) {
            exchange.start(head.status(), parts.codec().callerHeaders(head));
            CallerStream passed = new CallerStream(exchange, false, this::onLoop, this::setReading);
            stream = passed;
            passed.take(collected);
            collected = ByteString.EMPTY;
        }
    }

    @Override
    public void onWhole(Attempt from) {
        if (done) {
            return;
        }
        parts.crashes().onRequestCompleted(request.fingerprint());
        CallerStream current = stream;
        if (current != null) {
            current.end();
            end(ResultCode.DONE, "streamed");
            return;
        }
        ResponseHead head = wholeHead;
        if (head == null) {
            broken(from, SendFailure.invalidResponse("an answer without a head"));
            return;
        }
        if (head.status() >= STATUS_SERVER_ERROR) {
            from.load().onErrorResponse();
            if (route.isRetryable() && mayGoElsewhere() && parts.retries().tryRetry(service)) {
                again();
                return;
            }
        } else {
            from.load().onSuccess(from.age());
        }
        answerWhole(head);
    }

    private void answerWhole(ResponseHead head) {
        if (PROMISES.contains(head.status()) && !route.isRetryable()) {
            finish(Refusal.of(ResultCode.ANSWER_INCOMPLETE, "status " + head.status() + " although it may have run"));
            return;
        }
        exchange.respond(head.status(), parts.codec().callerHeaders(head), collected);
        end(ResultCode.DONE, "status " + head.status());
    }

    @Override
    public void onNotRun(Attempt from, AnswerMetadata answer) {
        if (done) {
            return;
        }
        logger.atInfo()
                .with(LogKeys.REQUEST, request.id())
                .with(LogKeys.UPSTREAM, from.upstream().id())
                .log("upstream did not run it, wrong upstream %s", answer.wrongUpstream());
        if (mayGoElsewhere() && parts.retries().tryRetry(service)) {
            again();
        } else {
            giveUp(Refusal.of(ResultCode.UPSTREAM_REFUSED).withRetryAfter(comeBackAfter()));
        }
    }

    @Override
    public void onFailed(Attempt from, SendFailure failure) {
        from.load().onFailure();
        if (failure.connectionLost() && failure.mayHaveRun()) {
            parts.crashes().onConnectionLost(from.upstream(), request.fingerprint());
        }
        if (!failure.mayHaveRun()) {
            parts.crashes().onUpstreamDown(from.upstream());
        }
        if (!done) {
            broken(from, failure);
        }
    }

    private void broken(Attempt from, SendFailure failure) {
        logger.atInfo()
                .with(LogKeys.REQUEST, request.id())
                .with(LogKeys.UPSTREAM, from.upstream().id())
                .log("no whole answer, may have run %s: %s", failure.mayHaveRun(), failure.detail());
        if (!failure.mayHaveRun()) {
            sentTo.remove(from.upstream().id());
            avoided.add(from.upstream().id());
            if (sends < MAX_SENDS && hasOther()) {
                again();
            } else {
                giveUp(Refusal.of(ResultCode.UPSTREAM_UNREACHABLE).withRetryAfter(RETRY_SOON));
            }
            return;
        }
        mayHaveRun = true;
        boolean allowed = route.isRetryable() && parts.crashes().maySend(request.fingerprint());
        if (allowed && mayGoElsewhere() && parts.retries().tryRetry(service)) {
            again();
        } else {
            finish(Refusal.of(ResultCode.UPSTREAM_LOST, failure.detail()));
        }
    }

    // Ends

    /** Ends with a refusal that states "not run", unless a request that is not idempotent may have run. */
    private void giveUp(Refusal refusal) {
        boolean promise = !mayHaveRun || route.kind() == RequestKind.IDEMPOTENT;
        finish(promise ? refusal : Refusal.of(ResultCode.UPSTREAM_LOST, refusal.detail()));
    }

    private void finish(Refusal refusal) {
        if (done) {
            return;
        }
        if (stream != null) {
            exchange.abort();
        } else {
            parts.codec().refuse(exchange, request.id(), refusal);
        }
        end(refusal.code(), refusal.detail());
    }

    private void deadlinePassed() {
        if (done) {
            return;
        }
        stopWork();
        finish(
                mayHaveRun || sends > 0
                        ? Refusal.of(ResultCode.DEADLINE_PASSED)
                        : Refusal.of(ResultCode.DEADLINE_UNREACHABLE).withRetryAfter(RETRY_SOON));
    }

    private void callerLeft() {
        if (!done) {
            stopWork();
            end(ResultCode.CANCELLED, "the caller left");
        }
    }

    private void stopWork() {
        EngineStart search = starting;
        if (search != null) {
            search.cancel();
        }
        Attempt current = attempt;
        if (current != null && !current.isOver()) {
            mayHaveRun = true;
            current.cancel();
        }
    }

    private void end(ResultCode code, String detail) {
        done = true;
        ScheduledFuture<?> timer = deadlineTimer;
        if (timer != null) {
            timer.cancel(false);
        }
        ScheduledFuture<?> checks = checkTimer;
        if (checks != null) {
            checks.cancel(false);
        }
        whenDone.accept(mayHaveRun);
        parts.metrics().onEnd(code, age().toMillis());
        Attempt last = attempt;
        logger.atInfo()
                .with(LogKeys.REQUEST, request.id())
                .with(LogKeys.CODE, code.number())
                .with(LogKeys.UPSTREAM, last == null ? "" : last.upstream().id())
                .log(
                        "%s in %d ms after %d sends, route %s, configuration %d",
                        detail,
                        age().toMillis(),
                        sends,
                        route.name(),
                        admitted.table().version());
    }

    // Times

    private Duration limit() {
        Duration own = request.callerDeadline().orElse(route.timeout());
        Duration shorter = own.compareTo(route.timeout()) < 0 ? own : route.timeout();
        return shorter.minus(DEADLINE_MARGIN);
    }

    private Duration age() {
        return Duration.ofNanos(parts.time().monotonicNanos() - startNanos);
    }

    private Duration timeLeft() {
        return limit.minus(age());
    }

    private int priority() {
        Account account = admitted.account();
        return account == null ? route.priority() : account.ownPriority().orElse(route.priority());
    }
}
