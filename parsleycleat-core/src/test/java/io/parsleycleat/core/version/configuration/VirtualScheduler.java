package io.parsleycleat.core.version.configuration;

import io.parsleycleat.core.process.time.TimeSource;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A scheduler whose time only moves when a test says so. Runs everything on the test's thread. */
public final class VirtualScheduler extends AbstractExecutorService implements ScheduledExecutorService, TimeSource {
    private static final long START_MILLIS = 1_700_000_000_000L;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong((Task t) -> t.nanos).thenComparingLong(t -> t.sequence));
    private long nowNanos;
    private long sequence;

    private static final class Task extends FutureTask<Void> implements ScheduledFuture<Void> {
        private final Runnable action;
        private final long nanos;
        private final long sequence;

        Task(Runnable action, long nanos, long sequence) {
            super(action, null);
            this.action = action;
            this.nanos = nanos;
            this.sequence = sequence;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return 0;
        }

        @Override
        public int compareTo(Delayed other) {
            return 0;
        }
    }

    /** Moves time on and runs what is due meanwhile. */
    public void advance(long millis) {
        long end = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!tasks.isEmpty() && tasks.peek().nanos <= end) {
            Task task = tasks.poll();
            nowNanos = Math.max(nowNanos, task.nanos);
            if (!task.isCancelled()) {
                task.action.run();
            }
        }
        nowNanos = end;
    }

    /** Moves time in small steps until something holds or the limit is over, and returns whether it holds. */
    public boolean advanceUntil(BooleanSupplier condition, long limitMillis) {
        for (long passed = 0; passed < limitMillis && !condition.getAsBoolean(); passed += 10) {
            advance(10);
        }
        return condition.getAsBoolean();
    }

    public <T> T join(CompletableFuture<T> future, long limitMillis) {
        advanceUntil(future::isDone, limitMillis);
        return future.getNow(null);
    }

    @Override
    public long wallMillis() {
        return START_MILLIS + TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }

    @Override
    public long monotonicNanos() {
        return nowNanos;
    }

    @Override
    public void execute(Runnable command) {
        schedule(command, 0, TimeUnit.NANOSECONDS);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        Task task = new Task(command, nowNanos + unit.toNanos(delay), sequence++);
        tasks.add(task);
        return task;
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initial, long period, TimeUnit unit) {
        return scheduleWithFixedDelay(command, initial, period, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initial, long delay, TimeUnit unit) {
        Runnable repeated = () -> {
            command.run();
            scheduleWithFixedDelay(command, delay, delay, unit);
        };
        return schedule(repeated, initial, unit);
    }

    @Override
    public void shutdown() {
        tasks.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        tasks.clear();
        return List.of();
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
