package io.parsleycleat.core.process.common;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * Timers whose tasks log what they throw. A repeated task goes on after that.
 *
 * <p>Created once by {@link ProcessBase}; safe to share between threads.
 */
final class GuardedScheduler extends ScheduledThreadPoolExecutor {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    GuardedScheduler(int threads, ThreadFactory factory) {
        super(threads, factory);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        return super.schedule(guarded(task), delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable task, long initial, long period, TimeUnit unit) {
        return super.scheduleAtFixedRate(guarded(task), initial, period, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable task, long initial, long delay, TimeUnit unit) {
        return super.scheduleWithFixedDelay(guarded(task), initial, delay, unit);
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                logger.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
                        "unexpected failure of a timer's task");
            }
        };
    }
}
