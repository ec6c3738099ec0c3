package io.parsleycleat.standin.history;

import java.util.Collection;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Collects events while a run is under way.
 *
 * <p>Created for each run; safe to share between threads.
 */
public final class HistoryRecorder {
    private final Collection<HistoryEvent> events = new ConcurrentLinkedQueue<>();

    /** Adds an event. */
    public void add(HistoryEvent event) {
        events.add(event);
    }

    /** Returns what was collected so far. */
    public History history() {
        return new History(events.stream().toList());
    }
}
