package io.parsleycleat.gateway.request.forward;

import com.google.protobuf.ByteString;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.connection.upstream.ResponseListener;
import io.parsleycleat.gateway.connection.upstream.SendFailure;
import io.parsleycleat.gateway.connection.upstream.UpstreamConnectionPool;
import io.parsleycleat.gateway.request.choose.UpstreamLoad;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.RunProgress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to run a request: it is sent to one upstream, whose answer is reported to a listener.
 *
 * <p>Created by {@link Forwarding} for each send; used on the event loop.
 */
final class Attempt implements ResponseListener {
    /** How much of an unwanted answer is read and discarded so that its connection can be reused. */
    private static final int MAX_IGNORED_BYTES = 64 * 1024;
    /** How long the attempt waits for the end of an unwanted answer before it closes the connection. */
    private static final Duration IGNORED_LIMIT = Duration.ofMillis(500);

    private final ForwardingContext parts;
    private final Upstream upstream;
    private final long ticket;
    private final UpstreamLoad load;
    private final long startNanos;
    private final String requestId;
    private final Outcome outcome;
    private UpstreamConnectionPool.@Nullable InFlightRequest sent;
    private @Nullable ResponseHead head;
    private @Nullable AnswerMetadata facts;
    private boolean over;
    private boolean ended;
    private boolean eventSeen;
    private int ignoredBytes;

    /** Receives the answer to an attempt, or its failure. */
    interface Outcome {
        /** Receives the head of an answer to this request, unless the answer states that the request was not run. */
        void onHead(Attempt attempt, ResponseHead answer);

        /** Receives a part of the answer's body. */
        void onBody(Attempt attempt, ByteString part);

        /** Called when the answer has arrived as a whole. */
        void onWhole(Attempt attempt);

        /** Called when the upstream states that it did not run the request. */
        void onNotRun(Attempt attempt, AnswerMetadata answer);

        /** Called when the answer will not arrive as a whole. */
        void onFailed(Attempt attempt, SendFailure failure);
    }

    /**
     * Creates an attempt; {@link #send} starts it.
     *
     * @param ticket identifies the start that the engine's side granted; 0 if no side was asked
     */
    Attempt(ForwardingContext parts, Upstream upstream, long ticket, String requestId, Outcome outcome) {
        this.parts = parts;
        this.upstream = upstream;
        this.ticket = ticket;
        this.load = parts.loads().of(upstream);
        this.startNanos = parts.time().monotonicNanos();
        this.requestId = requestId;
        this.outcome = outcome;
    }

    void send(ForwardRequest request, SendParameters terms) {
        load.onRequestSent();
        sent = parts.pools().poolFor(upstream).send(parts.codec().encode(request, terms), this);
    }

    /** Cancels the attempt and closes its connection, by which the upstream detects the cancellation. */
    void cancel() {
        if (over) {
            return;
        }
        UpstreamConnectionPool.InFlightRequest current = sent;
        if (current != null) {
            current.cancel();
        }
        end(RunProgress.Stage.ENDED);
    }

    /** Pauses or resumes reading of the answer, which applies backpressure to the upstream. */
    void setReading(boolean reading) {
        UpstreamConnectionPool.InFlightRequest current = sent;
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
        return Duration.ofNanos(parts.time().monotonicNanos() - startNanos);
    }

    boolean hasHead() {
        return head != null;
    }

    boolean isOver() {
        return over;
    }

    // Answer

    @Override
    public void onHead(ResponseHead answer) {
        load.onBytesReceived();
        AnswerMetadata read = parts.codec().decodeMetadata(answer);
        if (!read.isAnswerTo(requestId)) {
            giveUp(SendFailure.invalidResponse("the answer belongs to another request"));
            return;
        }
        noteAvailability(read);
        AnswerMetadata.ReportedLoad reported = read.load();
        if (reported != null) {
            load.onLoadReported(reported.running(), reported.waiting());
        }
        head = answer;
        facts = read;
        parts.metrics().onHead(age().toMillis());
        if (isNotRun(read)) {
            notRun(read);
        } else {
            outcome.onHead(this, answer);
        }
    }

    private void noteAvailability(AnswerMetadata read) {
        if (read.leaving()) {
            parts.availability().onLeaving(upstream);
        }
        Duration pause = read.requestedPause();
        if (pause != null) {
            parts.availability().onPauseRequested(upstream, pause);
        }
    }

    /** The head decides the outcome; a short body is read as well, so that the connection can be reused. */
    private void notRun(AnswerMetadata read) {
        end(read.wrongUpstream() ? RunProgress.Stage.NOT_HELD : RunProgress.Stage.ENDED);
        parts.loop().schedule(this::dropIgnored, IGNORED_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        outcome.onNotRun(this, read);
    }

    private void dropIgnored() {
        UpstreamConnectionPool.InFlightRequest current = sent;
        if (!ended && current != null) {
            ended = true;
            current.cancel();
        }
    }

    @Override
    public void onBody(ByteString part) {
        load.onBytesReceived();
        if (over || facts == null) {
            ignoredBytes += part.size();
            if (ignoredBytes > MAX_IGNORED_BYTES) {
                dropIgnored();
            }
            return;
        }
        if (!eventSeen) {
            eventSeen = true;
            load.onSuccess(age());
            tell(RunProgress.Stage.FIRST_EVENT);
        }
        outcome.onBody(this, part);
    }

    @Override
    public void onEnd() {
        ended = true;
        if (over || facts == null) {
            return;
        }
        end(RunProgress.Stage.ENDED);
        outcome.onWhole(this);
    }

    @Override
    public void onFailure(SendFailure failure) {
        ended = true;
        if (over) {
            return;
        }
        end(RunProgress.Stage.ENDED);
        outcome.onFailed(this, failure);
    }

    private void giveUp(SendFailure failure) {
        UpstreamConnectionPool.InFlightRequest current = sent;
        if (current != null) {
            current.cancel();
        }
        onFailure(failure);
    }

    private static boolean isNotRun(AnswerMetadata read) {
        return read.notRun() || read.wrongUpstream();
    }

    private void end(RunProgress.Stage stage) {
        over = true;
        load.onRequestEnded();
        tell(stage);
    }

    private void tell(RunProgress.Stage stage) {
        if (ticket != 0) {
            parts.gates().sendProgress(upstream, ticket, stage);
        }
    }
}
