package io.parsleycleat.gateway.request.forward;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.routes.Route;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The answer to one caller: buffered until an upstream has sent it as a whole, or streamed if it is a stream of events
 * or too large to be buffered.
 *
 * <p>Created by {@link Forwarding} for each request; used on the event loop.
 */
final class CallerAnswer {
    private static final int MAX_BUFFERED_BYTES = 1024 * 1024;
    private static final String CONTENT_TYPE = "Content-Type";

    private final CallerExchange exchange;
    private final CallCodec codec;
    private final Route route;
    private final Consumer<Runnable> executeOnLoop;
    private final Consumer<Boolean> setReading;
    private @Nullable ResponseHead bufferedHead;
    private ByteString bufferedBody = ByteString.EMPTY;
    private @Nullable CallerStream stream;
    private @Nullable ResponseHead streamHead;

    /**
     * Creates an answer of which nothing was sent.
     *
     * @param executeOnLoop executes an action on the event loop
     * @param setReading resumes reading from the upstream when called with true and pauses it with false
     */
    CallerAnswer(
            CallerExchange exchange,
            CallCodec codec,
            Route route,
            Consumer<Runnable> executeOnLoop,
            Consumer<Boolean> setReading) {
        this.exchange = exchange;
        this.codec = codec;
        this.route = route;
        this.executeOnLoop = executeOnLoop;
        this.setReading = setReading;
    }

    /** Returns whether a part of the answer was sent to the caller. */
    boolean isStreaming() {
        return stream != null;
    }

    /** Returns the head of an answer that is buffered. */
    @Nullable
    ResponseHead bufferedHead() {
        return bufferedHead;
    }

    /** Returns the id of the last event that the caller has. */
    OptionalLong lastEventId() {
        CallerStream current = stream;
        return current == null ? OptionalLong.empty() : current.lastEventId();
    }

    /** Takes the head of the first answer of an upstream. */
    void start(ResponseHead head) {
        if (route.kind() == RequestKind.STREAM && head.isSuccess()) {
            startStream(head, route.resumable() ? CallerStream.Content.RESUMABLE_EVENTS : CallerStream.Content.EVENTS);
        } else {
            bufferedHead = head;
        }
    }

    /** Returns whether another upstream may still answer: nothing was sent, or a stream that can be resumed. */
    boolean mayBeContinued() {
        return stream == null || (route.kind() == RequestKind.STREAM && route.resumable());
    }

    /** Returns whether an answer with this head can continue the stream: it has the same status and content type. */
    boolean isContinuedBy(ResponseHead head) {
        ResponseHead first = streamHead;
        return first != null
                && first.status() == head.status()
                && first.header(CONTENT_TYPE).equals(head.header(CONTENT_TYPE));
    }

    /** Takes the next bytes of the body. */
    void append(ByteString part) {
        CallerStream current = stream;
        if (current != null) {
            current.append(part);
            return;
        }
        bufferedBody = bufferedBody.concat(part);
        ResponseHead head = bufferedHead;
        if (bufferedBody.size() > MAX_BUFFERED_BYTES && head != null) {
            startStream(head, CallerStream.Content.BYTES).append(bufferedBody);
            bufferedBody = ByteString.EMPTY;
        }
    }

    /** Returns whether nothing is read from the upstream until the caller has read more. */
    boolean isReadingPaused() {
        CallerStream current = stream;
        return current != null && current.isReadingPaused();
    }

    /** Returns whether an event that is not whole yet already exceeds the length limit. */
    boolean isEventTooLong() {
        CallerStream current = stream;
        return current != null && current.isEventTooLong();
    }

    /**
     * Returns whether a streamed answer has broken off inside an event, if nothing follows.
     *
     * @param endsAtClose whether nothing but the end of the connection marks its end
     */
    boolean endsInsideEvent(boolean endsAtClose) {
        CallerStream current = stream;
        return current != null && current.endsInsideEvent(endsAtClose);
    }

    /** Discards what the caller does not have, before another upstream answers. */
    void discardUnsent() {
        CallerStream current = stream;
        if (current != null) {
            current.resume();
        }
        bufferedHead = null;
        bufferedBody = ByteString.EMPTY;
    }

    /** Completes a streamed answer. */
    void endStream() {
        CallerStream current = stream;
        if (current != null) {
            current.complete();
        }
    }

    /** Sends a buffered answer as a whole. */
    void respond(ResponseHead head) {
        exchange.respond(head.status(), codec.callerHeaders(head), bufferedBody);
    }

    private CallerStream startStream(ResponseHead head, CallerStream.Content content) {
        exchange.start(head.status(), codec.callerHeaders(head));
        CallerStream started = new CallerStream(exchange, content, executeOnLoop, setReading);
        stream = started;
        streamHead = head;
        return started;
    }
}
