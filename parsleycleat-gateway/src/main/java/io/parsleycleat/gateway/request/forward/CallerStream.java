package io.parsleycleat.gateway.request.forward;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.body.BodyMemory;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.gateway.request.events.EventSplitter;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The streamed answer to one caller, whose events may come from several upstreams one after another.
 *
 * <p>A resumable stream passes on whole events only, so that another upstream can continue after the last one. A stream
 * of events that ends inside one has broken off. When the caller reads slowly, reading from the upstream is paused, and
 * sooner when the answers of the process hold much memory together.
 *
 * <p>Created by {@link Forwarding} for each streamed answer; used on the event loop.
 */
final class CallerStream {
    private static final int HIGH_WATER_MARK_BYTES = 256 * 1024;
    private static final int LOW_WATER_MARK_BYTES = 64 * 1024;
    /** Memory that a write takes beside its bytes until the caller has them. */
    private static final int WRITE_OVERHEAD_BYTES = 256;

    /** Events up to this size are accepted however little memory is left. */
    private static final int MAX_SMALL_EVENT_BYTES = 4 * 1024;

    private final CallerExchange exchange;
    private final Content content;
    private final Consumer<Runnable> executeOnLoop;
    private final Consumer<Boolean> setReading;
    private final BodyMemory.Holder memory;
    private final EventSplitter splitter = new EventSplitter();
    private int bufferedBytes;
    private boolean readingPaused;
    private boolean eventTooLong;
    private boolean released;

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
     * @param memory holds what the caller does not have yet
     */
    CallerStream(
            CallerExchange exchange,
            Content content,
            Consumer<Runnable> executeOnLoop,
            Consumer<Boolean> setReading,
            BodyMemory.Holder memory) {
        this.exchange = exchange;
        this.content = content;
        this.executeOnLoop = executeOnLoop;
        this.setReading = setReading;
        this.memory = memory;
    }

    /** Passes the next bytes on to the caller; if the stream is resumable, only up to the end of a whole event. */
    void append(ByteString part) {
        ByteString wholeEvents = content == Content.BYTES ? part : splitter.append(part);
        write(content == Content.RESUMABLE_EVENTS ? wholeEvents : part);
        limitMemory();
    }

    /** Returns whether an event that is not whole yet exceeds the length limit, or the memory that is left. */
    boolean isEventTooLong() {
        return eventTooLong;
    }

    /** Returns the memory of what the caller does not have yet. */
    long heldBytes() {
        return bufferedBytes + splitter.heldBytes();
    }

    /** Ends the stream's own use of memory; what was written holds it until the caller has it. */
    void release() {
        released = true;
        memory.hold(bufferedBytes);
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
        int writeBytes = bytes.size() + WRITE_OVERHEAD_BYTES;
        bufferedBytes += writeBytes;
        exchange.write(bytes, () -> executeOnLoop.accept(() -> onWritten(writeBytes)));
    }

    /**
     * Pauses reading until the caller has read more, if much waits for it or the process has no more memory. An event
     * that is not whole cannot wait for that when the caller has all before it.
     */
    private void limitMemory() {
        boolean enoughMemory = memory.hold(heldBytes());
        boolean callerHasAll = bufferedBytes == 0;
        eventTooLong = splitter.isEventTooLong()
                || (!enoughMemory && callerHasAll && splitter.heldBytes() > MAX_SMALL_EVENT_BYTES);
        boolean wait = bufferedBytes > HIGH_WATER_MARK_BYTES || (!enoughMemory && !callerHasAll);
        if (wait && !readingPaused) {
            readingPaused = true;
            setReading.accept(false);
        }
    }

    private void onWritten(int writtenBytes) {
        bufferedBytes -= writtenBytes;
        memory.hold(released ? bufferedBytes : heldBytes());
        if (readingPaused && bufferedBytes < LOW_WATER_MARK_BYTES) {
            readingPaused = false;
            setReading.accept(true);
        }
    }
}
