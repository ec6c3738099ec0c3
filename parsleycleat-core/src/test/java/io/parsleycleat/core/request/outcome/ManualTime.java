package io.parsleycleat.core.request.outcome;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Time and a scheduler that a test moves. */
public final class ManualTime extends ScheduledThreadPoolExecutor implements TimeSource {
    private record Task(long dueNanos, Runnable action) {}

    private final List<Task> tasks = new ArrayList<>();
    private long nanos = Duration.ofDays(20_000).toNanos();

    public ManualTime() {
        super(1);
    }

    @Override
    public synchronized long wallMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    @Override
    public synchronized long monotonicNanos() {
        return nanos;
    }

    @Override
    public synchronized ScheduledFuture<?> schedule(Runnable action, long delay, TimeUnit unit) {
        tasks.add(new Task(nanos + unit.toNanos(delay), action));
        return null;
    }

    /** Moves time without running what became due, as for a process that is paused. */
    public synchronized void pause(Duration span) {
        nanos += span.toNanos();
    }

    /** Moves time and runs what becomes due, in order. */
    public void advance(Duration span) {
        long end = monotonicNanos() + span.toNanos();
        for (Task task = next(end); task != null; task = next(end)) {
            task.action().run();
        }
        synchronized (this) {
            nanos = Math.max(nanos, end);
        }
    }

    private synchronized Task next(long end) {
        Task task = tasks.stream()
                .filter(t -> t.dueNanos() <= end)
                .min(Comparator.comparingLong(Task::dueNanos))
                .orElse(null);
        if (task != null) {
            tasks.remove(task);
            nanos = Math.max(nanos, task.dueNanos());
        }
        return task;
    }
}
