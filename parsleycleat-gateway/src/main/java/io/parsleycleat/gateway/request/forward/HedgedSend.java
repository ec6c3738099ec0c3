package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.body.BodyMemory;
import io.parsleycleat.core.connection.body.PartBuffer;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.connection.upstream.SendFailure;
import io.parsleycleat.gateway.request.events.EventSplitter;
import java.util.OptionalLong;
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
    /** How much of an answer is held back until it serves the request; more is taken for a whole one. */
    private static final int MAX_HELD_BYTES = 1024 * 1024;

    private final ForwardingContext context;
    private final String requestId;
    private final UpstreamSearch search;
    private final Owner owner;
    private State state = State.SEARCHING;
    private @Nullable Attempt attempt;
    private @Nullable ResponseHead head;
    private final PartBuffer heldBody = new PartBuffer();
    private final EventSplitter heldEvents = new EventSplitter();
    private final BodyMemory.Holder memory;

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

        /** Returns whether the answer is a stream of events, which serves the request from its first new event on. */
        boolean isStream();

        /** Returns the id of the last event that the caller has. */
        OptionalLong lastEventId();

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
        this.memory = context.answerMemory().newHolder();
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
        releaseHeld();
        if (current == null) {
            return false;
        }
        boolean sent = current.isSent();
        current.cancel();
        return sent;
    }

    /**
     * Lets the second upstream serve the request alone; returns false if none works on it, or if its answer no longer
     * fits what the caller has got from the first one.
     */
    boolean takeOver() {
        Attempt current = attempt;
        ResponseHead received = head;
        if (state != State.SENT || current == null) {
            return false;
        }
        if (received != null && !owner.isUsable(received)) {
            current.cancel();
            drop(current, "status " + received.status() + " does not continue the answer");
            return false;
        }
        state = State.TAKEN;
        ByteString held = heldBody.drain();
        releaseHeld();
        owner.onTakenOver(current, received);
        if (!held.isEmpty()) {
            owner.onBody(current, held);
        }
        return true;
    }

    // Search

    private void onFound(UpstreamSearch.Found found) {
        if (state != State.SEARCHING) {
            found.giveBack(context);
            return;
        }
        state = State.SENT;
        attempt = send(found);
        if (attempt == null) {
            found.giveBack(context);
            end();
        }
    }

    /** Sends to the second upstream. A send that throws ends neither the request nor its first upstream's work. */
    private @Nullable Attempt send(UpstreamSearch.Found found) {
        try {
            return owner.sendHedged(found, this);
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).with(LogKeys.REQUEST, requestId).log("the second send failed");
            context.metrics().onUnexpectedFailure();
            return null;
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
            releaseHeld();
            owner.onHedgeEnded();
        }
    }

    private void releaseHeld() {
        heldBody.clear();
        memory.close();
    }

    // Answer of the second upstream

    @Override
    public void onHead(Attempt from, ResponseHead answer) {
        if (state == State.TAKEN) {
            owner.onHead(from, answer);
        } else if (owner.isUsable(answer)) {
            head = answer;
        } else {
            from.cancel();
            drop(from, "status " + answer.status());
        }
    }

    @Override
    public void onBody(Attempt from, ByteString part) {
        if (state == State.TAKEN) {
            owner.onBody(from, part);
            return;
        }
        heldBody.append(part);
        boolean serves = heldBody.size() > MAX_HELD_BYTES || (owner.isStream() && hasNewEvent(part));
        if (serves) {
            takeOver();
        } else if (!memory.hold(heldBody.heldBytes() + heldEvents.heldBytes())) {
            from.cancel();
            drop(from, "no memory is left to hold its answer");
        }
    }

    /** Returns whether the events so far contain one that the caller does not have. */
    private boolean hasNewEvent(ByteString part) {
        heldEvents.append(part);
        OptionalLong newest = heldEvents.lastEventId();
        OptionalLong known = owner.lastEventId();
        boolean isKnown = newest.isPresent() && known.isPresent() && newest.getAsLong() <= known.getAsLong();
        return heldEvents.hasWholeEvent() && !isKnown;
    }

    @Override
    public void onComplete(Attempt from) {
        if (state != State.TAKEN && owner.isStream()) {
            drop(from, "the answer has no new event");
        } else if (state == State.TAKEN || takeOver()) {
            owner.onComplete(from);
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
