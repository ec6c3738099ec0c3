package io.parsleycleat.gateway.request.forward;

import com.google.protobuf.ByteString;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.connection.upstream.ResponseListener;
import io.parsleycleat.gateway.connection.upstream.SendFailure;
import io.parsleycleat.gateway.connection.upstream.UpstreamConnectionPool;
import io.parsleycleat.gateway.request.choose.UpstreamLoad;
import io.parsleycleat.gateway.request.crash.InterruptedRequest;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.request.permits.UpstreamPermits;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.RunProgress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to run a request: it is sent to one upstream, whose answer is reported to a listener.
 *
 * <p>Created by {@link Forwarding} for each send; used on the event loop.
 */
final class Attempt implements ResponseListener {
    /** How much of an unwanted answer is read and discarded so that its connection can be reused. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;
    /** How long the attempt waits for the end of an unwanted answer before it closes the connection. */
    private static final Duration DISCARD_TIMEOUT = Duration.ofMillis(500);

    private final ForwardingContext context;
    private final Upstream upstream;
    private final Permission permission;
    private final UpstreamLoad load;
    private final long startNanos;
    private final ForwardRequest request;
    private final Listener listener;
    private UpstreamConnectionPool.@Nullable InFlightRequest sentRequest;
    private @Nullable ResponseHead head;
    private @Nullable AnswerMetadata metadata;
    private boolean finished;
    private boolean answerEnded;
    private boolean bodyStarted;
    private long bodyStartNanos;
    private boolean survivalRecorded;
    private int discardedBytes;

    /**
     * What allows a request to be sent to its upstream.
     *
     * @param ticket identifies the start that an engine's side granted; 0 if no side was asked
     * @param permit the permit that an entry granted; null if none was needed
     */
    record Permission(long ticket, UpstreamPermits.@Nullable Permit permit) {
        static Permission ofTicket(long ticket) {
            return new Permission(ticket, null);
        }

        static Permission ofPermit(UpstreamPermits.@Nullable Permit permit) {
            return new Permission(0, permit);
        }
    }

    /** Receives the answer to an attempt, or its failure. */
    interface Listener {
        /** Receives the head of an answer to this request, unless the answer states that the request was not run. */
        void onHead(Attempt attempt, ResponseHead head);

        /** Receives a part of the answer's body. */
        void onBody(Attempt attempt, ByteString part);

        /** Called when the answer has arrived as a whole. */
        void onComplete(Attempt attempt);

        /** Called when the upstream states that it did not run the request. */
        void onNotRun(Attempt attempt, AnswerMetadata metadata);

        /** Called when the answer will not arrive as a whole. */
        void onFailed(Attempt attempt, SendFailure failure);
    }

    /**
     * Creates an attempt; {@link #send} starts it.
     *
     * @param permission what allows the request to be sent
     */
    Attempt(
            ForwardingContext context,
            Upstream upstream,
            Permission permission,
            ForwardRequest request,
            Listener listener) {
        this.context = context;
        this.upstream = upstream;
        this.permission = permission;
        this.load = context.upstreamLoads().of(upstream);
        this.startNanos = context.time().monotonicNanos();
        this.request = request;
        this.listener = listener;
    }

    /**
     * Sends the request. If this throws, the attempt is over, and what permitted it is given back.
     *
     * @param guard ends the request if an event of the answer cannot be handled
     */
    void send(SendParameters parameters, UnaryOperator<ResponseListener> guard) {
        load.onRequestSent();
        try {
            sentRequest = context.upstreamPools()
                    .poolFor(upstream)
                    .send(context.codec().encode(request, parameters), guard.apply(this));
        } catch (RuntimeException | Error e) {
            finish(RunProgress.Stage.ENDED);
            throw e;
        }
    }

    /** Returns whether the request was handed to a connection of the upstream. */
    boolean isSent() {
        return sentRequest != null;
    }

    /** Cancels the attempt and closes its connection, by which the upstream detects the cancellation. */
    void cancel() {
        if (finished) {
            return;
        }
        UpstreamConnectionPool.InFlightRequest current = sentRequest;
        if (current != null) {
            current.cancel();
        }
        finish(RunProgress.Stage.ENDED);
    }

    /** Pauses or resumes reading of the answer, which applies backpressure to the upstream. */
    void setReading(boolean reading) {
        UpstreamConnectionPool.InFlightRequest current = sentRequest;
        if (current != null) {
            current.setReading(reading);
        }
    }

    Upstream upstream() {
        return upstream;
    }

    UpstreamLoad load() {
        return load;
    }

    /** Returns the time since the attempt was created. */
    Duration age() {
        return Duration.ofNanos(context.time().monotonicNanos() - startNanos);
    }

    /** Describes the request for the case that its connection was lost. */
    InterruptedRequest interruptedRequest() {
        return new InterruptedRequest(
                request.id(),
                request.fingerprint(),
                request.sharedPromptParts(),
                bodyStarted ? Optional.of(answerAge()) : Optional.empty());
    }

    private Duration answerAge() {
        return Duration.ofNanos(context.time().monotonicNanos() - bodyStartNanos);
    }

    /** Returns the failure of an answer whose end arrived although the answer is not whole. */
    SendFailure brokenOff(String detail) {
        return answerEndsAtClose() ? SendFailure.connectionBroken(detail) : SendFailure.invalidResponse(detail);
    }

    /** Returns whether nothing but the end of its connection marks the end of the answer. */
    boolean answerEndsAtClose() {
        ResponseHead received = head;
        return received != null && received.bodyEndsAtClose();
    }

    boolean hasHead() {
        return head != null;
    }

    boolean isFinished() {
        return finished;
    }

    // Answer

    @Override
    public void onHead(ResponseHead answer) {
        load.onBytesReceived();
        AnswerMetadata decoded = context.codec().decodeMetadata(answer);
        if (!decoded.isAnswerTo(request.id(), answer.connectionReused())) {
            fail(SendFailure.invalidResponse("the answer belongs to another request"));
            return;
        }
        recordAvailability(decoded);
        AnswerMetadata.ReportedLoad reported = decoded.load();
        if (reported != null) {
            load.onLoadReported(reported.running(), reported.waiting());
        }
        head = answer;
        metadata = decoded;
        context.metrics().onHead(age().toMillis());
        if (isNotRun(decoded)) {
            handleNotRun(decoded);
        } else {
            listener.onHead(this, answer);
        }
    }

    private void recordAvailability(AnswerMetadata decoded) {
        recordLimit(decoded.requestLimit());
        if (decoded.leaving()) {
            context.availability().onLeaving(upstream);
        }
        Duration pause = decoded.requestedPause();
        if (pause != null) {
            context.availability().onPauseRequested(upstream, pause);
        }
    }

    /** Records the named limit, and reports it to the process that holds all requests to it. */
    private void recordLimit(@Nullable RequestLimit named) {
        if (named != null && !named.isReadable()) {
            return;
        }
        boolean wasLimited = context.limits().isLimited(upstream);
        context.limits().onAnswer(upstream, named, startNanos);
        if (request.adapter() == null) {
            context.permits().onAnswer(upstream, permission.permit(), named);
        } else if (permission.ticket() != 0 && (named != null || wasLimited)) {
            context.gateClient().sendAnswered(upstream, permission.ticket(), named);
        }
    }

    /** The head decides the outcome; a short body is read as well, so that the connection can be reused. */
    private void handleNotRun(AnswerMetadata decoded) {
        finish(decoded.wrongUpstream() ? RunProgress.Stage.NOT_HELD : RunProgress.Stage.ENDED);
        context.loop().schedule(this::stopDiscarding, DISCARD_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        listener.onNotRun(this, decoded);
    }

    private void stopDiscarding() {
        UpstreamConnectionPool.InFlightRequest current = sentRequest;
        if (!answerEnded && current != null) {
            answerEnded = true;
            current.cancel();
        }
    }

    @Override
    public void onBody(ByteString part) {
        load.onBytesReceived();
        if (finished || metadata == null) {
            discardedBytes += part.size();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                stopDiscarding();
            }
            return;
        }
        if (!bodyStarted) {
            bodyStarted = true;
            bodyStartNanos = context.time().monotonicNanos();
            load.onSuccess(age());
            reportProgress(RunProgress.Stage.FIRST_EVENT);
        } else {
            recordSurvival();
        }
        listener.onBody(this, part);
    }

    /** Records once that the upstream has written the answer for a while without a crash. */
    private void recordSurvival() {
        if (!survivalRecorded && answerAge().compareTo(InterruptedRequest.SURVIVAL_TIME) >= 0) {
            survivalRecorded = true;
            context.crashWatch().onAnswerSurvived(request.sharedPromptParts());
        }
    }

    @Override
    public void onEnd() {
        answerEnded = true;
        if (finished || metadata == null) {
            return;
        }
        finish(RunProgress.Stage.ENDED);
        listener.onComplete(this);
    }

    @Override
    public void onFailure(SendFailure failure) {
        answerEnded = true;
        if (finished) {
            return;
        }
        finish(RunProgress.Stage.ENDED);
        listener.onFailed(this, failure);
    }

    private void fail(SendFailure failure) {
        UpstreamConnectionPool.InFlightRequest current = sentRequest;
        if (current != null) {
            current.cancel();
        }
        onFailure(failure);
    }

    private static boolean isNotRun(AnswerMetadata decoded) {
        return decoded.notRun() || decoded.wrongUpstream();
    }

    private void finish(RunProgress.Stage stage) {
        finished = true;
        load.onRequestEnded();
        reportProgress(stage);
    }

    private void reportProgress(RunProgress.Stage stage) {
        if (permission.ticket() != 0) {
            context.gateClient().sendProgress(upstream, permission.ticket(), stage);
        }
    }
}
