package io.parsleycleat.core.process.time;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Limits how long a future may take, by the clock of a scheduler. {@link CompletableFuture#orTimeout} counts by the
 * real clock, and completes its future on a thread of its own. Stateless.
 */
public final class TimeLimit {
    private TimeLimit() {}

    /**
     * Fails a future with a {@link TimeoutException}, on the scheduler, if it has not completed within a time.
     *
     * @return the same future
     */
    public static <T> CompletableFuture<T> within(
            Duration limit, CompletableFuture<T> future, ScheduledExecutorService scheduler) {
        if (!future.isDone()) {
            ScheduledFuture<?> timer = scheduler.schedule(
                    () -> future.completeExceptionally(new TimeoutException()),
                    limit.toMillis(),
                    TimeUnit.MILLISECONDS);
            future.whenComplete((result, failure) -> timer.cancel(false));
        }
        return future;
    }
}
