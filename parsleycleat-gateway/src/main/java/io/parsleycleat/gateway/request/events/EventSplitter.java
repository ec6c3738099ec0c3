package io.parsleycleat.gateway.request.events;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Cuts a stream into whole events and knows the id of the last one.
 *
 * <p>Created for each stream that may be resumed; used by one thread at a time.
 */
public final class EventSplitter {
    private static final String ID_FIELD = "id:";
    private static final int MAX_DIGITS = 18;

    private ByteString rest = ByteString.EMPTY;
    private long lastId = -1;

    /** Takes the next bytes and returns all events that are whole by now. */
    public ByteString take(ByteString part) {
        ByteString all = rest.concat(part);
        int end = lastEventEnd(all);
        ByteString whole = all.substring(0, end);
        rest = all.substring(end);
        if (!whole.isEmpty()) {
            noteIds(whole);
        }
        return whole;
    }

    /** Returns the bytes of an event that is not whole, and forgets them. */
    public ByteString takeRest() {
        ByteString left = rest;
        rest = ByteString.EMPTY;
        return left;
    }

    /** Returns the id of the last whole event, if one had an id. */
    public OptionalLong lastEventId() {
        return lastId < 0 ? OptionalLong.empty() : OptionalLong.of(lastId);
    }

    private static int lastEventEnd(ByteString bytes) {
        for (int i = bytes.size() - 1; i > 0; i--) {
            if (bytes.byteAt(i) == '\n' && bytes.byteAt(i - 1) == '\n') {
                return i + 1;
            }
        }
        return 0;
    }

    private void noteIds(ByteString whole) {
        Arrays.stream(whole.toString(StandardCharsets.UTF_8).split("\n"))
                .filter(line -> line.startsWith(ID_FIELD))
                .map(line -> line.substring(ID_FIELD.length()).trim())
                .filter(id ->
                        !id.isEmpty() && id.length() <= MAX_DIGITS && id.chars().allMatch(Character::isDigit))
                .mapToLong(Long::parseLong)
                .max()
                .ifPresent(id -> lastId = Math.max(lastId, id));
    }
}
