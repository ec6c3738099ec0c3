package io.parsleycleat.gateway.request.forward;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.gateway.request.events.EventSplitter;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The stream of events to one caller, which may come from several upstreams one after another.
 *
 * <p>A stream that can be resumed passes whole events only, so that another upstream can go on behind the last one.
 *
 * <p>Created for each streamed answer; used on one event loop.
 */
final class CallerStream {
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;
    private static final int LOW_BUFFERED_BYTES = 64 * 1024;

    private final CallerExchange exchange;
    private final boolean resumable;
    private final Consumer<Runnable> loop;
    private final Consumer<Boolean> setReading;
    private final EventSplitter splitter = new EventSplitter();
    private int buffered;
    private boolean stalled;

    /**
     * Creates a stream whose head was sent.
     *
     * @param loop runs an action on the event loop
     * @param setReading lets the upstream wait, or go on
     */
    CallerStream(CallerExchange exchange, boolean resumable, Consumer<Runnable> loop, Consumer<Boolean> setReading) {
        this.exchange = exchange;
        this.resumable = resumable;
        this.loop = loop;
        this.setReading = setReading;
    }

    /** Passes on what can be passed on by now. */
    void take(ByteString part) {
        write(resumable ? splitter.append(part) : part);
    }

    /** Returns whether what came last is no event, since it does not end. */
    boolean isEventTooLong() {
        return splitter.isEventTooLong();
    }

    /** Ends the answer as whole. */
    void end() {
        write(splitter.drainPartialEvent());
        exchange.end();
    }

    /** Forgets a part of an event, whose upstream is lost. */
    void cut() {
        splitter.drainPartialEvent();
    }

    /** Returns the last event that was passed on. */
    OptionalLong lastEventId() {
        return splitter.lastEventId();
    }

    private void write(ByteString bytes) {
        if (bytes.isEmpty()) {
            return;
        }
        buffered += bytes.size();
        exchange.write(bytes, () -> loop.accept(() -> written(bytes.size())));
        if (buffered > MAX_BUFFERED_BYTES && !stalled) {
            stalled = true;
            setReading.accept(false);
        }
    }

    private void written(int size) {
        buffered -= size;
        if (stalled && buffered < LOW_BUFFERED_BYTES) {
            stalled = false;
            setReading.accept(true);
        }
    }
}
