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
import io.parsleycleat.wire.gate.RunProgress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one admitted request: sends it to an upstream, retries where that is allowed, and answers the caller.
 *
 * <p>Created by {@link RequestForwarder} for each request; used on the event loop.
 */
final class Forwarding implements Attempt.Listener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The shortest time between two checks for a silent upstream, since each check wakes the process. */
    private static final Duration MIN_CHECK_INTERVAL = Duration.ofMillis(100);
    /** Time without bytes on any connection of an upstream after which a resumable stream is sent to another one. */
    private static final Duration MAX_UPSTREAM_SILENCE = Duration.ofMillis(800);
    /** Time without an answer's head after which an idempotent request is sent elsewhere, in route objectives. */
    private static final double HEAD_TIMEOUT_OBJECTIVES = 1.3;

    private static final int MAX_SENDS = 4;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    /** Statuses that mean "not run" to callers, and are not passed on for a request that may have run once. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final ForwardingContext context;
    private final RequestForwarder.Admitted admitted;
    private final ForwardRequest request;
    private final Route route;
    private final String service;
    private final CallerExchange exchange;
    private final OpenRequest open;
    private final Consumer<Boolean> onFinished;
    private final long startNanos;
    private final Duration timeLimit;
    private final CallerAnswer answer;
    private final Set<String> attemptedIds = new HashSet<>();
    private final Set<String> unreachableIds = new HashSet<>();
    private int sendCount;
    private boolean mayHaveRun;
    private boolean finished;
    private Runnable cancelSearch = () -> {};
    private @Nullable Attempt attempt;
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private @Nullable ScheduledFuture<?> lateCheckTimer;

    /**
     * Creates the forwarding of one request; {@link #start} starts it.
     *
     * @param onFinished called at the end with whether the request may have run
     */
    Forwarding(
            ForwardingContext context,
            RequestForwarder.Admitted admitted,
            String service,
            CallerExchange exchange,
            OpenRequest open,
            Consumer<Boolean> onFinished) {
        this.context = context;
        this.admitted = admitted;
        this.request = admitted.request();
        this.route = admitted.route();
        this.service = service;
        this.exchange = exchange;
        this.open = open;
        this.onFinished = onFinished;
        this.startNanos = context.time().monotonicNanos();
        this.timeLimit = admitted.timeLimit();
        this.answer = new CallerAnswer(exchange, context.codec(), route, this::executeOnLoop, this::setReading);
    }

    void start() {
        exchange.onGone(() -> context.loop().execute(this::onCallerGone));
        deadlineTimer =
                context.loop().schedule(this::onDeadline, Math.max(0, timeLeft().toMillis()), TimeUnit.MILLISECONDS);
        sendNext();
    }

    // Sending

    private void sendNext() {
        if (finished || refuseIfQuarantined()) {
            return;
        }
        open.enter(OpenRequest.Stage.UPSTREAM, "");
        Optional<ServiceSpec> spec = admitted.table().service(service);
        if (spec.isPresent() && spec.get().engine() != null && request.adapter() != null) {
            searchEngine();
            return;
        }
        searchPlainUpstream();
    }

    private void searchPlainUpstream() {
        PlainUpstreamSearch search = new PlainUpstreamSearch(
                context,
                service,
                admitted.priority(),
                timeLeft(),
                triedIds(),
                found -> {
                    if (!refuseIfQuarantined()) {
                        send(found.upstream(), Attempt.Permission.ofPermit(found.permit()), 0);
                    }
                },
                this::refuse);
        cancelSearch = search::cancel;
        search.start();
    }

    private void searchEngine() {
        EngineSearch.Criteria criteria = new EngineSearch.Criteria(
                request.id(),
                java.util.Objects.requireNonNull(request.adapter()),
                request.tokens(),
                admitted.priority(),
                route.latencyObjective().minus(age()),
                timeLeft());
        EngineSearch search = new EngineSearch(context, criteria, triedIds(), this::onEngineGranted, this::refuse);
        cancelSearch = search::cancel;
        search.tryNextEngine(service);
    }

    private Set<String> triedIds() {
        Set<String> tried = new HashSet<>(unreachableIds);
        tried.addAll(attemptedIds);
        return tried;
    }

    /** Sends to the engine that was found, unless the request was quarantined while it waited. */
    private void onEngineGranted(EngineSearch.GrantedEngine started) {
        if (refuseIfQuarantined()) {
            context.gateClient().sendProgress(started.engine(), started.ticket(), RunProgress.Stage.ENDED);
            return;
        }
        context.metrics().onStartGranted(age().toMillis());
        send(started.engine(), Attempt.Permission.ofTicket(started.ticket()), started.adapterVersion());
    }

    private boolean refuseIfQuarantined() {
        boolean quarantined = isQuarantined();
        if (quarantined) {
            refuse(RequestForwarder.QUARANTINE_REFUSAL);
        }
        return quarantined;
    }

    private boolean isQuarantined() {
        return !context.crashWatch().maySend(request.fingerprint(), request.sharedPromptParts());
    }

    private void send(Upstream upstream, Attempt.Permission permission, long adapterVersion) {
        sendCount++;
        open.enter(OpenRequest.Stage.ANSWER, upstream.id());
        attemptedIds.add(upstream.id());
        context.metrics().onSend(sendCount > 1, context.limits().isLimited(upstream));
        OptionalLong lastId = answer.lastEventId();
        Long resumeAfter = lastId.isPresent() ? Long.valueOf(lastId.getAsLong()) : request.resumeAfterEventId();
        Account account = admitted.account();
        boolean onEngine = request.adapter() != null;
        Attempt newAttempt = new Attempt(context, upstream, permission, request, this);
        attempt = newAttempt;
        newAttempt.send(new SendParameters(
                upstream,
                timeLeft(),
                account == null ? null : account.name(),
                onEngine ? admitted.priority() : null,
                adapterVersion,
                resumeAfter));
        if (lateCheckTimer == null && route.isRetryable()) {
            scheduleLateCheck(timeUntilLate(newAttempt));
        }
    }

    private void scheduleLateCheck(Duration delay) {
        long millis = Math.max(MIN_CHECK_INTERVAL.toMillis(), delay.toMillis() + 1);
        lateCheckTimer = context.loop().schedule(this::retryIfLate, millis, TimeUnit.MILLISECONDS);
    }

    /** Returns the time until an attempt counts as late if nothing more arrives; zero or negative if it is late. */
    private Duration timeUntilLate(Attempt current) {
        if (route.kind() == RequestKind.STREAM) {
            Duration silence = current.load().timeSinceLastBytes();
            return MAX_UPSTREAM_SILENCE.minus(silence.compareTo(current.age()) < 0 ? silence : current.age());
        }
        long limitMillis =
                (long) (HEAD_TIMEOUT_OBJECTIVES * route.latencyObjective().toMillis());
        return Duration.ofMillis(limitMillis).minus(current.age());
    }

    /** Sends the request to another upstream if the present one is late. Used only if the request may be repeated. */
    private void retryIfLate() {
        Attempt current = attempt;
        if (finished) {
            return;
        }
        if (current == null || current.isFinished()) {
            scheduleLateCheck(MIN_CHECK_INTERVAL);
            return;
        }
        boolean hasAnswered = route.kind() != RequestKind.STREAM && current.hasHead();
        Duration left = timeUntilLate(current);
        scheduleLateCheck(left);
        boolean late = !hasAnswered && (left.isNegative() || left.isZero());
        if (late
                && mayTryAnother()
                && hasUntriedUnlimitedUpstream()
                && context.retryShare().tryRetry(service)) {
            logger.atInfo()
                    .with(LogKeys.REQUEST, request.id())
                    .with(LogKeys.UPSTREAM, current.upstream().id())
                    .log("no answer for %d ms; sent elsewhere", current.age().toMillis());
            current.load().onFailure();
            mayHaveRun = true;
            current.cancel();
            retry();
        }
    }

    private boolean mayTryAnother() {
        return answer.mayBeContinued()
                && attemptedIds.size() < route.maxUpstreams()
                && sendCount < MAX_SENDS
                && hasUntriedUpstream();
    }

    private boolean hasUntriedUpstream() {
        return untriedUpstreams().findAny().isPresent();
    }

    /** Returns whether an upstream can take the request at once, so that a running attempt may be given up for it. */
    private boolean hasUntriedUnlimitedUpstream() {
        return untriedUpstreams().anyMatch(u -> !context.limits().isLimited(u));
    }

    private Stream<Upstream> untriedUpstreams() {
        return context.availableUpstreams(service).stream()
                .filter(u -> !attemptedIds.contains(u.id()) && !unreachableIds.contains(u.id()));
    }

    private void retry() {
        answer.discardUnsent();
        sendNext();
    }

    // Outcome of an attempt

    @Override
    public void onHead(Attempt from, ResponseHead head) {
        mayHaveRun = true;
        if (!answer.isStreaming()) {
            answer.start(head);
        } else if (!answer.isContinuedBy(head)) {
            from.cancel();
            handleFailure(from, SendFailure.invalidResponse("status " + head.status() + " on resuming the stream"));
        }
    }

    private void executeOnLoop(Runnable action) {
        if (context.loop().inEventLoop()) {
            action.run();
        } else {
            context.loop().execute(action);
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
        if (finished) {
            return;
        }
        if (answer.isStreaming() && sendCount == 1 && answer.lastEventId().isEmpty()) {
            context.metrics().onFirstEvent(age().toMillis());
        }
        if (answer.isStreaming() && answer.lastEventId().isEmpty()) {
            open.enter(OpenRequest.Stage.REST_OF_ANSWER, from.upstream().id());
        }
        answer.append(part);
        if (answer.isEventTooLong()) {
            from.cancel();
            onFailed(from, SendFailure.invalidResponse("event exceeds " + EventSplitter.MAX_EVENT_BYTES + " bytes"));
        }
    }

    @Override
    public void onComplete(Attempt from) {
        if (finished) {
            return;
        }
        if (answer.endsInsideEvent(from.answerEndsAtClose())) {
            onFailed(from, from.brokenOff("the stream ended inside an event"));
            return;
        }
        context.recordWholeAnswer(from);
        if (answer.isStreaming()) {
            answer.endStream();
            complete(ResultCode.DONE, "streamed");
            return;
        }
        ResponseHead head = answer.bufferedHead();
        if (head == null) {
            handleFailure(from, SendFailure.invalidResponse("the answer ended without a head"));
            return;
        }
        if (head.status() >= MIN_SERVER_ERROR_STATUS) {
            from.load().onErrorResponse();
            if (route.isRetryable() && mayTryAnother() && context.retryShare().tryRetry(service)) {
                retry();
                return;
            }
        } else {
            from.load().onSuccess(from.age());
        }
        respond(head);
    }

    private void respond(ResponseHead head) {
        if (NOT_RUN_STATUSES.contains(head.status()) && !route.isRetryable()) {
            sendRefusal(
                    Refusal.of(ResultCode.ANSWER_INCOMPLETE, "status " + head.status() + " although it may have run"));
            return;
        }
        answer.respond(head);
        complete(ResultCode.DONE, "status " + head.status());
    }

    @Override
    public void onNotRun(Attempt from, AnswerMetadata metadata) {
        if (finished) {
            return;
        }
        logger.atInfo()
                .with(LogKeys.REQUEST, request.id())
                .with(LogKeys.UPSTREAM, from.upstream().id())
                .log("upstream did not run it, wrong upstream %s", metadata.wrongUpstream());
        if (mayTryAnother() && context.retryShare().tryRetry(service)) {
            retry();
        } else {
            refuse(Refusal.of(ResultCode.UPSTREAM_REFUSED).withRetryAfter(context.noUpstreamRetryAfter(service)));
        }
    }

    @Override
    public void onFailed(Attempt from, SendFailure failure) {
        from.load().onFailure();
        context.recordFailure(from, failure);
        if (!finished) {
            handleFailure(from, failure);
        }
    }

    private void handleFailure(Attempt from, SendFailure failure) {
        logger.atInfo()
                .with(LogKeys.REQUEST, request.id())
                .with(LogKeys.UPSTREAM, from.upstream().id())
                .log("no whole answer, may have run %s: %s", failure.mayHaveRun(), failure.detail());
        if (!failure.mayHaveRun()) {
            attemptedIds.remove(from.upstream().id());
            unreachableIds.add(from.upstream().id());
            if (sendCount < MAX_SENDS && hasUntriedUpstream()) {
                retry();
            } else {
                refuse(Refusal.of(ResultCode.UPSTREAM_UNREACHABLE)
                        .withRetryAfter(ForwardingContext.DEFAULT_RETRY_AFTER));
            }
            return;
        }
        mayHaveRun = true;
        if (route.isRetryable()
                && !isQuarantined()
                && mayTryAnother()
                && context.retryShare().tryRetry(service)) {
            retry();
        } else {
            sendRefusal(Refusal.of(ResultCode.UPSTREAM_LOST, failure.detail()));
        }
    }

    // Ends

    /** Ends with a refusal that states "not run", unless a request that is not idempotent may have run. */
    private void refuse(Refusal refusal) {
        boolean reportNotRun = !mayHaveRun || route.kind() == RequestKind.IDEMPOTENT;
        sendRefusal(reportNotRun ? refusal : Refusal.of(ResultCode.UPSTREAM_LOST, refusal.detail()));
    }

    private void sendRefusal(Refusal refusal) {
        if (finished) {
            return;
        }
        if (answer.isStreaming()) {
            context.metrics().onCut();
            exchange.abort();
        } else {
            context.codec().refuse(exchange, request.id(), refusal);
        }
        complete(refusal.code(), refusal.detail() + (answer.isStreaming() ? ", answer cut" : ""));
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        cancelWork();
        sendRefusal(
                mayHaveRun || sendCount > 0
                        ? Refusal.of(ResultCode.DEADLINE_PASSED)
                        : Refusal.of(ResultCode.DEADLINE_UNREACHABLE)
                                .withRetryAfter(ForwardingContext.DEFAULT_RETRY_AFTER));
    }

    private void onCallerGone() {
        if (!finished) {
            cancelWork();
            complete(ResultCode.CANCELLED, "the caller left");
        }
    }

    private void cancelWork() {
        cancelSearch.run();
        Attempt current = attempt;
        if (current != null && !current.isFinished()) {
            mayHaveRun = true;
            current.cancel();
        }
    }

    private void complete(ResultCode code, String detail) {
        finished = true;
        ScheduledFuture<?> timer = deadlineTimer;
        if (timer != null) {
            timer.cancel(false);
        }
        ScheduledFuture<?> checks = lateCheckTimer;
        if (checks != null) {
            checks.cancel(false);
        }
        onFinished.accept(mayHaveRun);
        context.metrics().onEnd(code, age().toMillis());
        Attempt last = attempt;
        logger.atInfo()
                .with(LogKeys.REQUEST, request.id())
                .with(LogKeys.CODE, code.number())
                .with(LogKeys.UPSTREAM, last == null ? "" : last.upstream().id())
                .log(
                        "%s in %d ms after %d sends, route %s, configuration %d, %s",
                        detail,
                        age().toMillis(),
                        sendCount,
                        route.name(),
                        admitted.table().version(),
                        open.describe());
    }

    // Times

    private Duration age() {
        return Duration.ofNanos(context.time().monotonicNanos() - startNanos);
    }

    private Duration timeLeft() {
        return timeLimit.minus(age());
    }
}
