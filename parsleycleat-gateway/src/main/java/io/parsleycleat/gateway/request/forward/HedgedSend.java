package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.connection.upstream.SendFailure;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Sends a request to a second upstream while the first one is silent, without giving up the first: whichever of both
 * answers first serves the request. A second upstream that is not found, refuses or fails changes nothing.
 *
 * <p>Once the second upstream has answered, its attempt is reported to the owner like any other.
 *
 * <p>Created by {@link Forwarding} each time an upstream is silent; used on the event loop.
 */
final class HedgedSend implements Attempt.Listener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ForwardingContext context;
    private final String requestId;
    private final UpstreamSearch search;
    private final Owner owner;
    private State state = State.SEARCHING;
    private @Nullable Attempt attempt;
    private @Nullable ResponseHead head;

    private enum State {
        SEARCHING,
        SENT,
        /** The attempt of the second upstream serves the request. */
        TAKEN,
        ENDED
    }

    /** The request, at whose first upstream nothing has arrived for a while. */
    interface Owner extends Attempt.Listener {
        /** Sends the request to a second upstream, unless it may not be repeated any more. */
        @Nullable
        Attempt sendHedged(UpstreamSearch.Found found, Attempt.Listener listener);

        /** Returns whether an answer with this head can serve the request instead of the first one. */
        boolean isUsable(ResponseHead head);

        /** Returns whether the head alone shows that the second upstream serves the request. */
        boolean isServedByHead();

        /** Called when the second upstream has answered first, or the first one has failed before any answer. */
        void onTakenOver(Attempt second, @Nullable ResponseHead head);

        /** Called when the attempt at the second upstream has failed before any answer. */
        void onHedgeFailed(Attempt second, SendFailure failure);

        /** Called when there is no second upstream that answers. */
        void onHedgeEnded();
    }

    HedgedSend(ForwardingContext context, String requestId, UpstreamSearch search, Owner owner) {
        this.context = context;
        this.requestId = requestId;
        this.search = search;
        this.owner = owner;
    }

    /**
     * Starts to look for a second upstream.
     *
     * @param excluded ids of the upstreams that are not considered
     */
    void start(Set<String> excluded) {
        search.start(excluded, this::onFound, this::onRefused);
    }

    /**
     * Gives up the second upstream, since the first one has answered or the request has ended.
     *
     * @return whether the request was sent to it
     */
    boolean cancel() {
        search.cancel();
        Attempt current = state == State.SENT ? attempt : null;
        state = State.ENDED;
        if (current == null) {
            return false;
        }
        boolean sent = current.isSent();
        current.cancel();
        return sent;
    }

    /** Lets the second upstream serve the request alone; returns false if none works on it. */
    boolean takeOver() {
        Attempt current = attempt;
        if (state != State.SENT || current == null) {
            return false;
        }
        state = State.TAKEN;
        owner.onTakenOver(current, head);
        return true;
    }

    // Search

    private void onFound(UpstreamSearch.Found found) {
        if (state != State.SEARCHING) {
            found.giveBack(context);
            return;
        }
        state = State.SENT;
        attempt = owner.sendHedged(found, this);
        if (attempt == null) {
            found.giveBack(context);
            end();
        }
    }

    private void onRefused(Refusal refusal) {
        logger.atInfo()
                .with(LogKeys.REQUEST, requestId)
                .with(LogKeys.CODE, refusal.code().number())
                .log("no second upstream: %s", refusal.detail());
        end();
    }

    private void end() {
        if (state != State.ENDED && state != State.TAKEN) {
            state = State.ENDED;
            owner.onHedgeEnded();
        }
    }

    // Answer of the second upstream

    @Override
    public void onHead(Attempt from, ResponseHead answer) {
        if (state == State.TAKEN) {
            owner.onHead(from, answer);
        } else if (owner.isUsable(answer)) {
            head = answer;
            if (owner.isServedByHead()) {
                takeOver();
            }
        } else {
            from.cancel();
            drop(from, "status " + answer.status());
        }
    }

    @Override
    public void onBody(Attempt from, ByteString part) {
        if (state == State.TAKEN || takeOver()) {
            owner.onBody(from, part);
        }
    }

    @Override
    public void onComplete(Attempt from) {
        if (state == State.TAKEN) {
            owner.onComplete(from);
        } else {
            drop(from, "the answer is empty");
        }
    }

    @Override
    public void onNotRun(Attempt from, AnswerMetadata metadata) {
        if (state == State.TAKEN) {
            owner.onNotRun(from, metadata);
        } else {
            drop(from, "the upstream did not run it");
        }
    }

    @Override
    public void onFailed(Attempt from, SendFailure failure) {
        if (state == State.TAKEN) {
            owner.onFailed(from, failure);
            return;
        }
        owner.onHedgeFailed(from, failure);
        drop(from, failure.detail());
    }

    private void drop(Attempt from, String reason) {
        logger.atInfo()
                .with(LogKeys.REQUEST, requestId)
                .with(LogKeys.UPSTREAM, from.upstream().id())
                .log("no answer of the second upstream: %s", reason);
        end();
    }
}
