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
    private static final int MAX_DIGITS = 18;
    private static final int DECIMAL = 10;

    private ByteString rest = ByteString.EMPTY;
    private long lastId = -1;

    /** Appends the next bytes of the stream and returns all events that are now whole. */
    public ByteString append(ByteString part) {
        int end = lastEventEnd(part);
        if (end == 0) {
            rest = rest.concat(part);
            return ByteString.EMPTY;
        }
        ByteString whole = rest.concat(part.substring(0, end));
        rest = part.substring(end);
        noteIds(whole);
        return whole;
    }

    /** Returns whether the event that is not whole yet already exceeds {@link #MAX_EVENT_BYTES}. */
    public boolean isEventTooLong() {
        return rest.size() > MAX_EVENT_BYTES;
    }

    /** Returns the bytes of an event that is not whole, and removes them from the buffer. */
    public ByteString drainPartialEvent() {
        ByteString left = rest;
        rest = ByteString.EMPTY;
        return left;
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
        boolean across =
                !part.isEmpty() && part.byteAt(0) == '\n' && !rest.isEmpty() && rest.byteAt(rest.size() - 1) == '\n';
        return across ? 1 : 0;
    }

    private void noteIds(ByteString whole) {
        int start = 0;
        for (int i = 0; i < whole.size(); i++) {
            if (whole.byteAt(i) == '\n') {
                noteId(whole.substring(start, i));
                start = i + 1;
            }
        }
    }

    private void noteId(ByteString line) {
        if (!line.startsWith(ID_FIELD)) {
            return;
        }
        String id = line.substring(ID_FIELD.size()).toStringUtf8().trim();
        boolean isNumber = !id.isEmpty()
                && id.length() <= MAX_DIGITS
                && id.chars().allMatch(c -> Character.digit(c, DECIMAL) >= 0);
        if (isNumber) {
            lastId = Math.max(lastId, Long.parseLong(id));
        }
    }
}
