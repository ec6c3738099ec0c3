package io.parsleycleat.standin.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The events of one run of the system in the order of their times.
 *
 * <p>Created when a run is over; immutable and safe to share.
 */
public record History(List<HistoryEvent> events) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    public History {
        events = events.stream()
                .sorted(Comparator.comparingLong(HistoryEvent::at))
                .toList();
    }

    /** Returns a history of some events. */
    public static History of(HistoryEvent... events) {
        return new History(Arrays.asList(events));
    }

    /** Reads a history that {@link #toJsonLines} wrote. */
    public static History parse(String jsonLines) {
        return new History(jsonLines
                .lines()
                .filter(line -> !line.isBlank())
                .map(History::parseEvent)
                .toList());
    }

    /** Writes one event a line. */
    public String toJsonLines() {
        return events.stream().map(History::writeEvent).collect(Collectors.joining("\n"));
    }

    /** Returns the events of one type. */
    public <E extends HistoryEvent> Stream<E> of(Class<E> type) {
        return events.stream().filter(type::isInstance).map(type::cast);
    }

    /** Returns the invocation of a request. */
    public Optional<HistoryEvent.Invocation> invocation(String request) {
        return of(HistoryEvent.Invocation.class)
                .filter(i -> i.request().equals(request))
                .findFirst();
    }

    private static HistoryEvent parseEvent(String line) {
        try {
            return MAPPER.readValue(line, HistoryEvent.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not an event: " + line, e);
        }
    }

    private static String writeEvent(HistoryEvent event) {
        try {
            return MAPPER.writerFor(HistoryEvent.class).writeValueAsString(event);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot be written: " + event, e);
        }
    }
}
