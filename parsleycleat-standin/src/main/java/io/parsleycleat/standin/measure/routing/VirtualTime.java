package io.parsleycleat.standin.measure.routing;

import io.parsleycleat.core.process.time.TimeSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** A clock that jumps from one event to the next. Created for each run; used by one thread. */
final class VirtualTime implements TimeSource {
    private record Event(long nanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long sequence;

    void after(double millis, Runnable action) {
        events.add(new Event(nowNanos + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1)), sequence++, action));
    }

    void every(double millis, Runnable action) {
        after(millis, () -> {
            action.run();
            every(millis, action);
        });
    }

    /** Runs all events until a time. */
    void runUntil(double seconds) {
        long end = (long) (seconds * TimeUnit.SECONDS.toNanos(1));
        while (!events.isEmpty() && events.peek().nanos() <= end) {
            Event event = events.remove();
            nowNanos = event.nanos();
            event.action().run();
        }
        nowNanos = end;
    }

    double millis() {
        return (double) nowNanos / TimeUnit.MILLISECONDS.toNanos(1);
    }

    @Override
    public long wallMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }

    @Override
    public long monotonicNanos() {
        return nowNanos;
    }
}
