package io.parsleycleat.gateway.request.forward;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.body.BodyMemory;
import io.parsleycleat.core.connection.body.PartBuffer;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.request.events.EventSplitter;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.routes.Route;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * The answer to one caller: buffered until an upstream has sent it as a whole, or streamed if it is a stream of events
 * or too large to be buffered, by itself or beside the other answers of the process.
 *
 * <p>Created by {@link Forwarding} for each request; used on the event loop.
 */
final class CallerAnswer {
    private static final int MAX_BUFFERED_BYTES = 1024 * 1024;
    /** Whole answers up to this size hold no memory that is counted while their caller reads them. */
    private static final int MAX_UNCOUNTED_BYTES = 8 * 1024;

    private static final String CONTENT_TYPE = "Content-Type";
    private static final String CONTENT_LENGTH = "Content-Length";
    /** Statuses that mean "not run" to callers, and are not passed on for a request that may have run once. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final CallerExchange exchange;
    private final CallCodec codec;
    private final Route route;
    private final Consumer<Runnable> executeOnLoop;
    private final Consumer<Boolean> setReading;
    private final BodyMemory.Holder memory;
    private final PartBuffer bufferedBody = new PartBuffer();
    private @Nullable ResponseHead bufferedHead;
    private @Nullable String fault;
    private @Nullable CallerStream stream;
    private @Nullable ResponseHead streamHead;

    /**
     * Creates an answer of which nothing was sent.
     *
     * @param executeOnLoop executes an action on the event loop
     * @param setReading resumes reading from the upstream when called with true and pauses it with false
     * @param memory holds what the caller does not have yet; given back by {@link #release}
     */
    CallerAnswer(
            CallerExchange exchange,
            CallCodec codec,
            Route route,
            Consumer<Runnable> executeOnLoop,
            Consumer<Boolean> setReading,
            BodyMemory.Holder memory) {
        this.exchange = exchange;
        this.codec = codec;
        this.route = route;
        this.executeOnLoop = executeOnLoop;
        this.setReading = setReading;
        this.memory = memory;
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
        bufferedBody.append(part);
        ResponseHead head = bufferedHead;
        boolean fits = bufferedBody.size() <= MAX_BUFFERED_BYTES && memory.hold(bufferedBody.heldBytes());
        if (!fits && head != null && !claimsNotRun(head)) {
            startStream(head, CallerStream.Content.BYTES).append(bufferedBody.drain());
        } else if (!fits) {
            fault = bufferedBody.size() + " bytes are too large to be buffered, and the status may not be passed on";
        }
    }

    /** Returns whether nothing is read from the upstream until the caller has read more. */
    boolean isReadingPaused() {
        CallerStream current = stream;
        return current != null && current.isReadingPaused();
    }

    /** Returns whether the status tells callers "not run" although the request may have run and may not be repeated. */
    boolean claimsNotRun(ResponseHead head) {
        return NOT_RUN_STATUSES.contains(head.status()) && !route.isRetryable();
    }

    /**
     * Returns why no more of the answer can be taken: an event that is longer than one may be, or a body that is too
     * large to be buffered and has a status that is not passed on.
     */
    Optional<String> fault() {
        CallerStream current = stream;
        return current != null && current.isEventTooLong()
                ? Optional.of("event exceeds " + EventSplitter.MAX_EVENT_BYTES + " bytes, or the memory for answers")
                : Optional.ofNullable(fault);
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
        bufferedBody.clear();
        fault = null;
        memory.hold(current == null ? 0 : current.heldBytes());
    }

    /** Gives the memory back, after the last call of another method; that of written bytes once the caller has them. */
    void release() {
        CallerStream current = stream;
        if (current != null) {
            current.release();
        } else {
            memory.close();
        }
    }

    /** Completes a streamed answer. */
    void endStream() {
        CallerStream current = stream;
        if (current != null) {
            current.complete();
        }
    }

    /** Sends a buffered answer as a whole. A large one is written like a stream, since its memory is counted so. */
    void respond(ResponseHead head) {
        int size = bufferedBody.size();
        List<Map.Entry<String, String>> headers = codec.callerHeaders(head);
        if (size <= MAX_UNCOUNTED_BYTES) {
            exchange.respond(head.status(), headers, bufferedBody.drain());
            return;
        }
        List<Map.Entry<String, String>> withLength = Stream.concat(
                        headers.stream().filter(h -> !h.getKey().equalsIgnoreCase(CONTENT_LENGTH)),
                        Stream.of(Map.entry(CONTENT_LENGTH, Integer.toString(size))))
                .toList();
        startStream(head, withLength, CallerStream.Content.BYTES).append(bufferedBody.drain());
        endStream();
    }

    private CallerStream startStream(ResponseHead head, CallerStream.Content content) {
        return startStream(head, codec.callerHeaders(head), content);
    }

    private CallerStream startStream(
            ResponseHead head, List<Map.Entry<String, String>> headers, CallerStream.Content content) {
        exchange.start(head.status(), headers);
        CallerStream started = new CallerStream(exchange, content, executeOnLoop, setReading, memory);
        stream = started;
        streamHead = head;
        return started;
    }
}
