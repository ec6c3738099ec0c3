package io.parsleycleat.gateway;

import java.time.Duration;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** A scheduler that runs its tasks when a test advances the time. Used by one thread. */
public final class ManualScheduler extends AbstractExecutorService implements ScheduledExecutorService {
    private final ManualTimeSource time;
    private final PriorityQueue<Task<?>> tasks = new PriorityQueue<>(
            Comparator.<Task<?>>comparingLong(t -> t.dueNanos).thenComparingLong(t -> t.sequenceNumber));
    private long nextSequenceNumber;

    private final class Task<T> extends FutureTask<T> implements ScheduledFuture<T> {
        private final long sequenceNumber = nextSequenceNumber++;
        private final long periodNanos;
        private long dueNanos;

        Task(Callable<T> work, long dueNanos, long periodNanos) {
            super(work);
            this.dueNanos = dueNanos;
            this.periodNanos = periodNanos;
        }

        @Override
        public void run() {
            if (periodNanos == 0) {
                super.run();
            } else if (runAndReset()) {
                dueNanos += periodNanos;
                tasks.add(this);
            }
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(dueNanos - time.monotonicNanos(), TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
        }
    }

    public ManualScheduler(ManualTimeSource time) {
        this.time = time;
    }

    /** Advances the time and runs the tasks that become due, each at its due time. */
    public void runFor(Duration duration) {
        long end = time.monotonicNanos() + duration.toNanos();
        while (!tasks.isEmpty() && tasks.peek().dueNanos <= end) {
            Task<?> next = tasks.remove();
            time.advance(Duration.ofNanos(Math.max(0, next.dueNanos - time.monotonicNanos())));
            if (!next.isCancelled()) {
                next.run();
            }
        }
        time.advance(Duration.ofNanos(Math.max(0, end - time.monotonicNanos())));
    }

    private <T> Task<T> add(Callable<T> work, long delay, long period, TimeUnit unit) {
        Task<T> task = new Task<>(work, time.monotonicNanos() + unit.toNanos(delay), unit.toNanos(period));
        tasks.add(task);
        return task;
    }

    private static Callable<Object> callable(Runnable work) {
        return () -> {
            work.run();
            return null;
        };
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable work, long delay, TimeUnit unit) {
        return add(callable(work), delay, 0, unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> work, long delay, TimeUnit unit) {
        return add(work, delay, 0, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable work, long first, long period, TimeUnit unit) {
        return add(callable(work), first, period, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable work, long first, long delay, TimeUnit unit) {
        return add(callable(work), first, delay, unit);
    }

    @Override
    public void execute(Runnable work) {
        work.run();
    }

    @Override
    public void shutdown() {
        tasks.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        tasks.clear();
        return Collections.emptyList();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }
}
