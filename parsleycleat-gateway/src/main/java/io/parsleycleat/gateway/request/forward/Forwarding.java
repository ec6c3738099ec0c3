package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.connection.upstream.SendFailure;
import io.parsleycleat.gateway.version.routes.Account;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.routes.Route;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.time.Duration;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one admitted request: sends it to an upstream, retries where that is allowed, and answers the caller.
 *
 * <p>Created by {@link RequestForwarder} for each request; used on the event loop.
 */
final class Forwarding implements HedgedSend.Owner {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final ForwardingContext context;
    private final RequestForwarder.Admitted admitted;
    private final ForwardRequest request;
    private final Route route;
    private final OpenRequest open;
    private final CallerAnswer answer;
    private final SilenceCheck silence;
    private final TriedUpstreams tried;
    private final RequestRepeats repeats;
    private boolean mayHaveRun;
    private boolean finished;
    private @Nullable UpstreamSearch search;
    private @Nullable Attempt attempt;
    private @Nullable HedgedSend hedge;

    /**
     * Creates the forwarding of one request; {@link #start} starts it.
     *
     * @param tried where the request may be sent
     * @param open owns the request and takes its answer
     */
    Forwarding(ForwardingContext context, RequestForwarder.Admitted admitted, TriedUpstreams tried, OpenRequest open) {
        this.context = context;
        this.admitted = admitted;
        this.request = admitted.request();
        this.route = admitted.route();
        this.open = open;
        this.answer = new CallerAnswer(
                open,
                context.codec(),
                route,
                open::execute,
                this::setReading,
                context.answerMemory().newHolder());
        this.tried = tried;
        this.repeats = new RequestRepeats(context, request.id());
        this.silence = new SilenceCheck(context, route, open.guard(this::hedgeIfLate));
    }

    void start() {
        open.onGone(this::onCallerGone);
        sendNext();
    }

    // Sending

    private void sendNext() {
        if (finished || refuseIfQuarantined()) {
            return;
        }
        open.enter(OpenRequest.Stage.UPSTREAM, "");
        String service = tried.service();
        if (!repeats.moveTo(service)) {
            refuse(noUpstream(ResultCode.NO_UPSTREAM));
            return;
        }
        UpstreamSearch next = new UpstreamSearch(context, open, admitted, service);
        search = next;
        Duration limit = open.timeLimit();
        next.start(tried.ids(), this::onFound, refusal -> onNotFound(refusal, service, limit));
    }

    /**
     * Refuses the request, unless another service has upstreams for it, or its time limit has grown since the search
     * began, which waited no longer.
     */
    private void onNotFound(Refusal refusal, String searchedService, Duration searchedLimit) {
        if (!tried.service().equals(searchedService) || open.timeLimit().compareTo(searchedLimit) > 0) {
            sendNext();
        } else {
            refuse(refusal);
        }
    }

    /** Sends to the upstream that was found, unless the request was quarantined while it waited. */
    private void onFound(UpstreamSearch.Found found) {
        if (refuseIfQuarantined()) {
            found.giveBack(context);
        } else {
            send(found, this);
        }
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

    private Attempt send(UpstreamSearch.Found found, Attempt.Listener listener) {
        Upstream upstream = found.upstream();
        tried.onSend(upstream);
        if (found.permission().ticket() != 0) {
            context.metrics().onStartGranted(age().toMillis());
        }
        context.metrics().onSend(tried.sendCount() > 1, context.limits().isLimited(upstream));
        OptionalLong lastId = answer.lastEventId();
        Long resumeAfter = lastId.isPresent() ? Long.valueOf(lastId.getAsLong()) : request.resumeAfterEventId();
        Account account = admitted.account();
        boolean onEngine = request.adapter() != null;
        Attempt sent = new Attempt(context, upstream, found.permission(), request, listener);
        if (listener == this) {
            repeats.onSend();
            attempt = sent;
            open.enter(OpenRequest.Stage.ANSWER, upstream.id());
        }
        sent.send(
                new SendParameters(
                        upstream,
                        open.upstreamTimeLeft(),
                        account == null ? null : account.name(),
                        onEngine ? admitted.priority() : null,
                        found.adapterVersion(),
                        resumeAfter),
                open::guard);
        silence.onSent(sent);
        return sent;
    }

    // A second upstream while the first one is silent

    /** Looks for a second upstream if the present one is silent. */
    private void hedgeIfLate() {
        if (finished || open.hasEnded()) {
            return;
        }
        Attempt current = attempt;
        silence.scheduleNext(current);
        if (current != null && hedge == null && silence.isLate(current) && mayHedge()) {
            logger.atInfo()
                    .with(LogKeys.REQUEST, request.id())
                    .with(LogKeys.UPSTREAM, current.upstream().id())
                    .log(
                            "no answer for %d ms; looking for a second upstream",
                            current.age().toMillis());
            hedge = new HedgedSend(
                    context, request.id(), new UpstreamSearch(context, open, admitted, tried.service()), this);
            hedge.start(tried.ids());
        }
    }

    private boolean mayHedge() {
        return !answer.isReadingPaused()
                && mayTryAnother()
                && tried.hasUntriedUnlimited()
                && !isQuarantined()
                && repeats.isAvailable(tried.service());
    }

    @Override
    public @Nullable Attempt sendHedged(UpstreamSearch.Found found, Attempt.Listener listener) {
        return !finished
                        && !isQuarantined()
                        && repeats.takeForSend(found.upstream().service())
                ? send(found, listener)
                : null;
    }

    @Override
    public boolean isUsable(ResponseHead head) {
        return answer.isStreaming()
                ? answer.isContinuedBy(head)
                : head.status() < MIN_SERVER_ERROR_STATUS && (route.kind() != RequestKind.STREAM || head.isSuccess());
    }

    @Override
    public boolean isStream() {
        return route.kind() == RequestKind.STREAM;
    }

    @Override
    public OptionalLong lastEventId() {
        return answer.lastEventId();
    }

    @Override
    public void onTakenOver(Attempt second, @Nullable ResponseHead head) {
        Attempt first = attempt;
        if (first != null && !first.isFinished()) {
            logger.atInfo()
                    .with(LogKeys.REQUEST, request.id())
                    .with(LogKeys.UPSTREAM, first.upstream().id())
                    .log(
                            "no answer for %d ms; served by %s",
                            first.age().toMillis(), second.upstream().id());
            first.load().onFailure();
            first.cancel();
        }
        hedge = null;
        attempt = second;
        mayHaveRun = true;
        open.enter(OpenRequest.Stage.ANSWER, second.upstream().id());
        answer.discardUnsent();
        if (head != null) {
            onHead(second, head);
        }
    }

    @Override
    public void onHedgeEnded() {
        hedge = null;
    }

    @Override
    public void onHedgeFailed(Attempt second, SendFailure failure) {
        recordFailure(second, failure);
    }

    /** Gives up the second upstream, since the first one has answered. */
    private void cancelHedge() {
        HedgedSend second = hedge;
        hedge = null;
        if (second != null) {
            mayHaveRun |= second.cancel();
        }
    }

    /** Lets the second upstream go on alone after the first one has failed; returns false if none works on it. */
    private boolean continueOnHedge() {
        HedgedSend second = hedge;
        if (second != null && second.takeOver()) {
            return true;
        }
        cancelHedge();
        return false;
    }

    private boolean mayTryAnother() {
        return answer.mayBeContinued() && tried.mayTryAnother();
    }

    private void retry() {
        answer.discardUnsent();
        sendNext();
    }

    // Outcome of an attempt

    @Override
    public void onHead(Attempt from, ResponseHead head) {
        mayHaveRun = true;
        if (!isStream() && head.status() < MIN_SERVER_ERROR_STATUS) {
            cancelHedge();
        }
        if (!answer.isStreaming()) {
            answer.start(head);
        } else if (!answer.isContinuedBy(head)) {
            from.cancel();
            handleFailure(from, SendFailure.invalidResponse("status " + head.status() + " on resuming the stream"));
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
        if (answer.isStreaming()
                && tried.sendCount() == 1
                && answer.lastEventId().isEmpty()) {
            context.metrics().onFirstEvent(age().toMillis());
        }
        if (answer.isStreaming() && answer.lastEventId().isEmpty()) {
            open.enter(OpenRequest.Stage.REST_OF_ANSWER, from.upstream().id());
        }
        answer.append(part);
        if (answer.isStreaming()) {
            cancelHedge();
        }
        answer.fault().ifPresent(fault -> {
            from.cancel();
            onFailed(from, SendFailure.invalidResponse(fault));
        });
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
            if (continueOnHedge()) {
                return;
            }
            if (route.isRetryable() && mayTryAnother() && repeats.reserve(tried.service())) {
                retry();
                return;
            }
        } else {
            from.load().onSuccess(from.age());
        }
        respond(head);
    }

    private void respond(ResponseHead head) {
        if (answer.claimsNotRun(head)) {
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
        if (continueOnHedge()) {
            return;
        }
        if (mayTryAnother() && repeats.reserve(tried.service())) {
            retry();
        } else {
            refuse(noUpstream(ResultCode.UPSTREAM_REFUSED));
        }
    }

    @Override
    public void onFailed(Attempt from, SendFailure failure) {
        recordFailure(from, failure);
        if (!finished) {
            handleFailure(from, failure);
        }
    }

    private void recordFailure(Attempt from, SendFailure failure) {
        from.load().onFailure();
        context.recordFailure(from, failure);
        mayHaveRun |= failure.mayHaveRun();
        if (!failure.mayHaveRun()) {
            tried.onUnreachable(from.upstream());
        }
    }

    private void handleFailure(Attempt from, SendFailure failure) {
        logger.atInfo()
                .with(LogKeys.REQUEST, request.id())
                .with(LogKeys.UPSTREAM, from.upstream().id())
                .log("no whole answer, may have run %s: %s", failure.mayHaveRun(), failure.detail());
        if (continueOnHedge()) {
            return;
        }
        if (!failure.mayHaveRun()) {
            if (tried.mayReplaceUnreachable()) {
                retry();
            } else {
                refuse(Refusal.of(ResultCode.UPSTREAM_UNREACHABLE)
                        .withRetryAfter(ForwardingContext.DEFAULT_RETRY_AFTER));
            }
            return;
        }
        if (route.isRetryable() && !isQuarantined() && mayTryAnother() && repeats.reserve(tried.service())) {
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

    private Refusal noUpstream(ResultCode code) {
        return Refusal.of(code).withRetryAfter(context.noUpstreamRetryAfter(tried.service()));
    }

    private void sendRefusal(Refusal refusal) {
        if (finished) {
            return;
        }
        if (answer.isStreaming()) {
            context.metrics().onCut();
            open.abort();
        } else {
            context.codec().refuse(open, request.id(), refusal);
        }
        complete(refusal.code(), refusal.detail() + (answer.isStreaming() ? ", answer cut" : ""));
    }

    /** Ends the request with an answer that its owner chose; the upstream learns it by its closed connection. */
    void end(Refusal ifNotRun, Refusal ifMayHaveRun) {
        if (finished) {
            return;
        }
        cancelWork();
        sendRefusal(mayHaveRun ? ifMayHaveRun : ifNotRun);
    }

    private void onCallerGone() {
        if (!finished) {
            cancelWork();
            complete(ResultCode.CANCELLED, "the caller left");
        }
    }

    private void cancelWork() {
        UpstreamSearch current = search;
        if (current != null) {
            current.cancel();
        }
        cancelHedge();
        cancelAttempt();
    }

    private void cancelAttempt() {
        Attempt current = attempt;
        if (current != null && !current.isFinished()) {
            mayHaveRun = mayHaveRun || current.isSent();
            current.cancel();
        }
    }

    private void complete(ResultCode code, String detail) {
        finished = true;
        silence.cancel();
        cancelHedge();
        repeats.giveBack();
        answer.release();
        open.onEnded(mayHaveRun);
        context.metrics().onEnd(code, age().toMillis());
        Attempt last = attempt;
        open.logEnd(code, detail, last == null ? "" : last.upstream().id(), tried.sendCount());
    }

    // Times

    private Duration age() {
        return open.age();
    }
}
