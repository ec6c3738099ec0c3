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
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One send of a request to one upstream.
 *
 * <p>Created by {@link Forwarding} for each send; used on the event loop.
 */
final class Attempt implements AnswerListener {
    /** What is read of an answer that is not passed on, so that its connection can be used again. */
    private static final int MAX_IGNORED_BYTES = 64 * 1024;
    /** How long the end of such an answer is waited for. */
    private static final Duration IGNORED_LIMIT = Duration.ofMillis(500);

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
    private boolean ended;
    private boolean eventSeen;
    private int ignoredBytes;

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
        noteAvailability(read);
        AnswerFacts.ReportedLoad reported = read.load();
        if (reported != null) {
            load.onReport(reported.running(), reported.waiting());
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

    private void noteAvailability(AnswerFacts read) {
        if (read.leaving()) {
            parts.availability().onLeaving(upstream);
        }
        Duration pause = read.pause();
        if (pause != null) {
            parts.availability().onPause(upstream, pause);
        }
    }

    /** The head tells all; the rest is read for the sake of the connection, as long as there is not much of it. */
    private void notRun(AnswerFacts read) {
        end(read.wrongUpstream() ? RunProgress.Stage.NOT_HELD : RunProgress.Stage.ENDED);
        parts.loop().schedule(this::dropIgnored, IGNORED_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        outcome.onNotRun(this, read);
    }

    private void dropIgnored() {
        UpstreamPool.Sent current = sent;
        if (!ended && current != null) {
            ended = true;
            current.cancel();
        }
    }

    @Override
    public void onBody(ByteString part) {
        load.onHeard();
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
            parts.gates().sendProgress(upstream, ticket, stage);
        }
    }
}
