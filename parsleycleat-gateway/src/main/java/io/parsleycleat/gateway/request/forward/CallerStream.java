package io.parsleycleat.gateway.request.forward;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.gateway.request.events.EventSplitter;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The streamed answer to one caller, whose events may come from several upstreams one after another.
 *
 * <p>A resumable stream passes on whole events only, so that another upstream can continue after the last one. A stream
 * of events that ends inside one has broken off. When the caller reads slowly, reading from the upstream is paused.
 *
 * <p>Created by {@link Forwarding} for each streamed answer; used on the event loop.
 */
final class CallerStream {
    private static final int HIGH_WATER_MARK_BYTES = 256 * 1024;
    private static final int LOW_WATER_MARK_BYTES = 64 * 1024;

    private final CallerExchange exchange;
    private final Content content;
    private final Consumer<Runnable> executeOnLoop;
    private final Consumer<Boolean> setReading;
    private final EventSplitter splitter = new EventSplitter();
    private int bufferedBytes;
    private boolean readingPaused;

    /** What the answer consists of. */
    enum Content {
        /** Bytes without a structure that is known here. */
        BYTES,
        EVENTS,
        RESUMABLE_EVENTS
    }

    /**
     * Creates a stream whose head was already sent to the caller.
     *
     * @param executeOnLoop executes an action on the event loop
     * @param setReading resumes reading from the upstream when called with true and pauses it with false
     */
    CallerStream(
            CallerExchange exchange, Content content, Consumer<Runnable> executeOnLoop, Consumer<Boolean> setReading) {
        this.exchange = exchange;
        this.content = content;
        this.executeOnLoop = executeOnLoop;
        this.setReading = setReading;
    }

    /** Passes the next bytes on to the caller; if the stream is resumable, only up to the end of a whole event. */
    void append(ByteString part) {
        ByteString wholeEvents = content == Content.BYTES ? part : splitter.append(part);
        write(content == Content.RESUMABLE_EVENTS ? wholeEvents : part);
    }

    /** Returns whether an event that is not whole yet already exceeds the length limit. */
    boolean isEventTooLong() {
        return splitter.isEventTooLong();
    }

    /**
     * Returns whether the bytes so far are a stream of events that broke off inside one. An answer with a length or
     * chunks and without any event is no such stream.
     */
    boolean endsInsideEvent(boolean endsAtClose) {
        return splitter.isInsideEvent() && (endsAtClose || splitter.hasWholeEvent());
    }

    /** Sends what was held back and completes the answer. */
    void complete() {
        if (content == Content.RESUMABLE_EVENTS) {
            write(splitter.drainPartialEvent());
        }
        exchange.end();
    }

    /** Prepares for an answer of another upstream, which continues after the last whole event. */
    void resume() {
        splitter.resume();
    }

    /** Returns whether nothing is read from the upstream until the caller has read more. */
    boolean isReadingPaused() {
        return readingPaused;
    }

    /** Returns the id of the last event that was passed on. */
    OptionalLong lastEventId() {
        return splitter.lastEventId();
    }

    private void write(ByteString bytes) {
        if (bytes.isEmpty()) {
            return;
        }
        bufferedBytes += bytes.size();
        exchange.write(bytes, () -> executeOnLoop.accept(() -> onWritten(bytes.size())));
        if (bufferedBytes > HIGH_WATER_MARK_BYTES && !readingPaused) {
            readingPaused = true;
            setReading.accept(false);
        }
    }

    private void onWritten(int writtenBytes) {
        bufferedBytes -= writtenBytes;
        if (readingPaused && bufferedBytes < LOW_WATER_MARK_BYTES) {
            readingPaused = false;
            setReading.accept(true);
        }
    }
}
