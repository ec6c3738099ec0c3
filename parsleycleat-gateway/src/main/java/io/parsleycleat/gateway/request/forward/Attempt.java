package io.parsleycleat.gateway.request.forward;

import com.google.protobuf.ByteString;
import io.parsleycleat.gateway.connection.upstream.AnswerHead;
import io.parsleycleat.gateway.connection.upstream.AnswerListener;
import io.parsleycleat.gateway.connection.upstream.SendFailure;
import io.parsleycleat.gateway.connection.upstream.UpstreamPool;
import io.parsleycleat.gateway.request.choose.UpstreamLoad;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.RunProgress;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * One send of a request to one upstream.
 *
 * <p>Created by {@link Forwarding} for each send; used on the event loop.
 */
final class Attempt implements AnswerListener {
    private final ForwardParts parts;
    private final Upstream upstream;
    private final long ticket;
    private final UpstreamLoad load;
    private final long startNanos;
    private final String requestId;
    private final Outcome outcome;
    private UpstreamPool.@Nullable Sent sent;
    private @Nullable AnswerHead head;
    private @Nullable AnswerFacts facts;
    private boolean over;
    private boolean eventSeen;

    /** Takes what an attempt comes to. */
    interface Outcome {
        /** Takes the head of an answer that belongs to the request and was run. */
        void onHead(Attempt attempt, AnswerHead answer);

        /** Takes a part of that answer's body. */
        void onBody(Attempt attempt, ByteString part);

        /** That answer is whole. */
        void onWhole(Attempt attempt);

        /** The upstream says that it did not run the request. */
        void onNotRun(Attempt attempt, AnswerFacts answer);

        /** There is no whole answer. */
        void onFailed(Attempt attempt, SendFailure failure);
    }

    /**
     * Creates an attempt that was not sent yet.
     *
     * @param ticket names the start at the side; 0 when there is none
     */
    Attempt(ForwardParts parts, Upstream upstream, long ticket, String requestId, Outcome outcome) {
        this.parts = parts;
        this.upstream = upstream;
        this.ticket = ticket;
        this.load = parts.loads().of(upstream);
        this.startNanos = parts.time().monotonicNanos();
        this.requestId = requestId;
        this.outcome = outcome;
    }

    void send(ForwardRequest request, SendTerms terms) {
        load.onSend();
        sent = parts.pools().of(upstream).send(parts.codec().encode(request, terms), this);
    }

    /** Gives the attempt up; the upstream sees its connection close. */
    void cancel() {
        if (over) {
            return;
        }
        UpstreamPool.Sent current = sent;
        if (current != null) {
            current.cancel();
        }
        end(RunProgress.Stage.ENDED);
    }

    void setReading(boolean reading) {
        UpstreamPool.Sent current = sent;
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

    /** Returns the time since the send. */
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
    public void onHead(AnswerHead answer) {
        load.onHeard();
        AnswerFacts read = parts.codec().facts(answer);
        if (!read.answers(requestId)) {
            giveUp(SendFailure.malformed("the answer belongs to another request"));
            return;
        }
        AnswerFacts.ReportedLoad reported = read.load();
        if (reported != null) {
            load.onReport(reported.running(), reported.waiting());
        }
        head = answer;
        facts = read;
        parts.metrics().onHead(age().toMillis());
        if (!isNotRun(read)) {
            outcome.onHead(this, answer);
        }
    }

    @Override
    public void onBody(ByteString part) {
        load.onHeard();
        AnswerFacts read = facts;
        if (over || read == null || isNotRun(read)) {
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
        AnswerFacts read = facts;
        if (over || read == null) {
            return;
        }
        if (isNotRun(read)) {
            end(read.wrongUpstream() ? RunProgress.Stage.NOT_HELD : RunProgress.Stage.ENDED);
            outcome.onNotRun(this, read);
        } else {
            end(RunProgress.Stage.ENDED);
            outcome.onWhole(this);
        }
    }

    @Override
    public void onFailure(SendFailure failure) {
        if (over) {
            return;
        }
        AnswerFacts read = facts;
        end(RunProgress.Stage.ENDED);
        if (read != null && isNotRun(read)) {
            outcome.onNotRun(this, read);
        } else {
            outcome.onFailed(this, failure);
        }
    }

    private void giveUp(SendFailure failure) {
        UpstreamPool.Sent current = sent;
        if (current != null) {
            current.cancel();
        }
        onFailure(failure);
    }

    private static boolean isNotRun(AnswerFacts read) {
        return read.notRun() || read.wrongUpstream();
    }

    private void end(RunProgress.Stage stage) {
        over = true;
        load.onDone();
        tell(stage);
    }

    private void tell(RunProgress.Stage stage) {
        if (ticket != 0) {
            parts.gates().tell(upstream, ticket, stage);
        }
    }
}
