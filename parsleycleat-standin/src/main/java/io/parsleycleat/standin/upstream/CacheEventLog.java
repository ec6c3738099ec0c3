package io.parsleycleat.standin.upstream;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.standin.upstream.PrefixCache.CacheEvent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The cache events that an engine tells about, late and with gaps.
 *
 * <p>Created by {@link ModelEngineStandIn}; safe to share between threads.
 */
final class CacheEventLog {
    private static final int LIMIT = 4_096;
    private static final int GAP_EVERY = 10;

    private final TimeSource time;
    private final long lagMillis;
    private final Deque<NumberedEvent> events = new ArrayDeque<>();
    private long next;

    CacheEventLog(TimeSource time, long lagMillis) {
        this.time = time;
        this.lagMillis = lagMillis;
    }

    /** Numbers an event; where events lag, one in ten is lost. */
    synchronized void add(CacheEvent event) {
        long number = next++;
        boolean lost = lagMillis > 0 && number % GAP_EVERY == GAP_EVERY - 1;
        if (!lost) {
            events.addLast(new NumberedEvent(
                    number, time.wallMillis() + lagMillis, event.kind(), event.model(), event.block()));
        }
        if (events.size() > LIMIT) {
            events.removeFirst();
        }
    }

    synchronized List<NumberedEvent> from(long number) {
        long now = time.wallMillis();
        return events.stream()
                .filter(e -> e.number() >= number && e.visibleAtMillis() <= now)
                .toList();
    }

    /** An event with its number and the time from which it shows. */
    record NumberedEvent(long number, long visibleAtMillis, String kind, String model, String block) {}
}
