package io.parsleycleat.gateway.request.events;

import com.google.protobuf.ByteString;
import java.util.OptionalLong;

/**
 * Splits a server-sent event stream into whole events and records the id of the last one.
 *
 * <p>Bytes of an event that is not whole yet are held back until its end arrives.
 *
 * <p>Created for each streamed answer; used by one thread at a time.
 */
public final class EventSplitter {
    /** The longest event that is accepted, so that a faulty upstream that never ends an event cannot exhaust memory. */
    public static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final ByteString ID_FIELD = ByteString.copyFromUtf8("id:");
    private static final int MAX_ID_DIGITS = 18;
    private static final int DECIMAL_RADIX = 10;

    private ByteString partialEvent = ByteString.EMPTY;
    private long lastId = -1;

    /** Appends the next bytes of the stream and returns all events that are now whole. */
    public ByteString append(ByteString part) {
        int end = lastEventEnd(part);
        if (end == 0) {
            partialEvent = partialEvent.concat(part);
            return ByteString.EMPTY;
        }
        ByteString wholeEvents = partialEvent.concat(part.substring(0, end));
        partialEvent = part.substring(end);
        recordEventIds(wholeEvents);
        return wholeEvents;
    }

    /** Returns whether the event that is not whole yet already exceeds {@link #MAX_EVENT_BYTES}. */
    public boolean isEventTooLong() {
        return partialEvent.size() > MAX_EVENT_BYTES;
    }

    /** Returns the bytes of an event that is not whole, and removes them from the buffer. */
    public ByteString drainPartialEvent() {
        ByteString drained = partialEvent;
        partialEvent = ByteString.EMPTY;
        return drained;
    }

    /** Returns the highest numeric id of the whole events so far, or empty if none had one. */
    public OptionalLong lastEventId() {
        return lastId < 0 ? OptionalLong.empty() : OptionalLong.of(lastId);
    }

    /**
     * Returns the index after the last empty line of a part, or 0 if there is none. The line break before that empty
     * line may be the last byte that was appended earlier.
     */
    private int lastEventEnd(ByteString part) {
        for (int i = part.size() - 1; i > 0; i--) {
            if (part.byteAt(i) == '\n' && part.byteAt(i - 1) == '\n') {
                return i + 1;
            }
        }
        boolean emptyLineIsSplit = !part.isEmpty()
                && part.byteAt(0) == '\n'
                && !partialEvent.isEmpty()
                && partialEvent.byteAt(partialEvent.size() - 1) == '\n';
        return emptyLineIsSplit ? 1 : 0;
    }

    private void recordEventIds(ByteString wholeEvents) {
        int start = 0;
        for (int i = 0; i < wholeEvents.size(); i++) {
            if (wholeEvents.byteAt(i) == '\n') {
                recordEventId(wholeEvents.substring(start, i));
                start = i + 1;
            }
        }
    }

    private void recordEventId(ByteString line) {
        if (!line.startsWith(ID_FIELD)) {
            return;
        }
        String id = line.substring(ID_FIELD.size()).toStringUtf8().trim();
        boolean isNumber = !id.isEmpty()
                && id.length() <= MAX_ID_DIGITS
                && id.chars().allMatch(c -> Character.digit(c, DECIMAL_RADIX) >= 0);
        if (isNumber) {
            lastId = Math.max(lastId, Long.parseLong(id));
        }
    }
}
