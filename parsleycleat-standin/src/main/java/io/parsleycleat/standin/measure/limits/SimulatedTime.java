package io.parsleycleat.standin.measure.limits;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * A clock that moves from one planned event to the next.
 *
 * <p>Created for each simulation and used by one thread.
 */
public final class SimulatedTime implements TimeSource {
    private record Event(long atNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long nowNanos = TimeUnit.HOURS.toNanos(1);
    private long sequence;

    @Override
    public long wallMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }

    @Override
    public long monotonicNanos() {
        return nowNanos;
    }

    /** Plans an action. */
    public void after(Duration delay, Runnable action) {
        at(nowNanos + delay.toNanos(), action);
    }

    /** Plans an action at a time; at once when that has passed. */
    public void at(long atNanos, Runnable action) {
        sequence++;
        events.add(new Event(Math.max(atNanos, nowNanos), sequence, action));
    }

    /** Plans an action again and again. */
    public void every(Duration interval, Runnable action) {
        after(interval, () -> {
            action.run();
            every(interval, action);
        });
    }

    /** Runs all events of the time given. */
    public void run(Duration duration) {
        long end = nowNanos + duration.toNanos();
        while (!events.isEmpty() && events.peek().atNanos() <= end) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
        nowNanos = end;
    }
}
