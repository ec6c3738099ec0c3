package io.parsleycleat.gateway.request.events;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.body.PartBuffer;
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
    /** An event ends with a line break behind an empty line, each of which may have a carriage return. */
    private static final int MAX_EVENT_END_LOOK_BACK = 2;

    private static final int MAX_ID_DIGITS = 18;
    private static final int DECIMAL_RADIX = 10;

    private final PartBuffer partialEvent = new PartBuffer();
    /** The last bytes of the event that is not whole, as many as the end of an event may reach back. */
    private ByteString partialEnd = ByteString.EMPTY;

    private boolean anyWholeEvent;
    private long lastId = -1;
    private long lastIdBeforeResumption = -1;

    /** Appends the next bytes of the stream and returns all events that are now whole. */
    public ByteString append(ByteString part) {
        ByteString pending = partialEnd.concat(part);
        int known = partialEnd.size();
        int end = lastEventEnd(pending, known);
        ByteString wholeEvents =
                end == 0 ? ByteString.EMPTY : drainPartialEvent().concat(pending.substring(known, end));
        partialEvent.append(pending.substring(Math.max(known, end)));
        partialEnd = pending.substring(Math.max(end, pending.size() - MAX_EVENT_END_LOOK_BACK));
        anyWholeEvent |= end > 0;
        ByteString newEvents = lastIdBeforeResumption < 0 ? wholeEvents : withoutKnownEvents(wholeEvents);
        recordEventIds(newEvents);
        return newEvents;
    }

    /**
     * Prepares for a stream that continues this one: discards the event that is not whole, and leaves out events from
     * now on whose ids were there before.
     */
    public void resume() {
        drainPartialEvent();
        lastIdBeforeResumption = lastId;
    }

    /** Returns whether at least one event was whole. */
    public boolean hasWholeEvent() {
        return anyWholeEvent;
    }

    /** Returns whether a part of an event has arrived that is not whole, not counting white space. */
    public boolean isInsideEvent() {
        return !partialEvent.content().toStringUtf8().isBlank();
    }

    /** Returns whether the event that is not whole yet already exceeds {@link #MAX_EVENT_BYTES}. */
    public boolean isEventTooLong() {
        return partialEvent.size() > MAX_EVENT_BYTES;
    }

    /** Returns the memory that the event that is not whole takes. */
    public long heldBytes() {
        return partialEvent.heldBytes();
    }

    /** Returns the bytes of an event that is not whole, and removes them from the buffer. */
    public ByteString drainPartialEvent() {
        partialEnd = ByteString.EMPTY;
        return partialEvent.drain();
    }

    /** Returns the highest numeric id of the whole events so far, or empty if none had one. */
    public OptionalLong lastEventId() {
        return lastId < 0 ? OptionalLong.empty() : OptionalLong.of(lastId);
    }

    private ByteString withoutKnownEvents(ByteString wholeEvents) {
        ByteString kept = ByteString.EMPTY;
        int start = 0;
        for (int i = 1; i < wholeEvents.size(); i++) {
            if (wholeEvents.byteAt(i) == '\n' && endsLine(wholeEvents, i - 1)) {
                ByteString event = wholeEvents.substring(start, i + 1);
                kept = isKnown(event) ? kept : kept.concat(event);
                start = i + 1;
            }
        }
        return kept;
    }

    private boolean isKnown(ByteString event) {
        OptionalLong id = event.toStringUtf8()
                .lines()
                .map(line -> eventId(ByteString.copyFromUtf8(line)))
                .filter(OptionalLong::isPresent)
                .mapToLong(OptionalLong::getAsLong)
                .max();
        return id.isPresent() && id.getAsLong() <= lastIdBeforeResumption;
    }

    /** Returns the index after the last empty line that ends at or after an index, or 0 if there is none. */
    private static int lastEventEnd(ByteString bytes, int from) {
        for (int i = bytes.size() - 1; i >= Math.max(1, from); i--) {
            if (bytes.byteAt(i) == '\n' && endsLine(bytes, i - 1)) {
                return i + 1;
            }
        }
        return 0;
    }

    /** Returns whether a line ends at an index, apart from a carriage return that belongs to the next line break. */
    private static boolean endsLine(ByteString bytes, int at) {
        int end = bytes.byteAt(at) == '\r' ? at - 1 : at;
        return end >= 0 && bytes.byteAt(end) == '\n';
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
        eventId(line).ifPresent(id -> lastId = Math.max(lastId, id));
    }

    private static OptionalLong eventId(ByteString line) {
        if (!line.startsWith(ID_FIELD)) {
            return OptionalLong.empty();
        }
        String id = line.substring(ID_FIELD.size()).toStringUtf8().trim();
        boolean isNumber = !id.isEmpty()
                && id.length() <= MAX_ID_DIGITS
                && id.chars().allMatch(c -> Character.digit(c, DECIMAL_RADIX) >= 0);
        return isNumber ? OptionalLong.of(Long.parseLong(id)) : OptionalLong.empty();
    }
}
