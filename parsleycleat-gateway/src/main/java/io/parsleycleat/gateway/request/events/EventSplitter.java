package io.parsleycleat.gateway.request.events;

import com.google.protobuf.ByteString;
import java.util.OptionalLong;

/**
 * Cuts a stream into whole events and knows the id of the last one.
 *
 * <p>Created for each stream that may be resumed; used by one thread at a time.
 */
public final class EventSplitter {
    /** An event that is longer is none: an upstream in trouble may send bytes without end. */
    public static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final ByteString ID_FIELD = ByteString.copyFromUtf8("id:");
    private static final int MAX_DIGITS = 18;
    private static final int DECIMAL = 10;

    private ByteString rest = ByteString.EMPTY;
    private long lastId = -1;

    /** Takes the next bytes and returns all events that are whole by now. */
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

    /** Returns whether more bytes wait for the end of their event than an event has. */
    public boolean isEventTooLong() {
        return rest.size() > MAX_EVENT_BYTES;
    }

    /** Returns the bytes of an event that is not whole, and forgets them. */
    public ByteString drainPartialEvent() {
        ByteString left = rest;
        rest = ByteString.EMPTY;
        return left;
    }

    /** Returns the id of the last whole event, if one had an id. */
    public OptionalLong lastEventId() {
        return lastId < 0 ? OptionalLong.empty() : OptionalLong.of(lastId);
    }

    /** Returns the index behind the last empty line of a part, whose first line may have begun in the rest. */
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
