package io.parsleycleat.core.process.side;

import io.parsleycleat.core.process.limits.LoadPermit;
import io.parsleycleat.core.process.limits.LoadPermits;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.slots.LoadGate;
import io.parsleycleat.core.process.slots.LoadPriority;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Waits for a permit to load while the weight store's rate is used up, instead of refusing the requests that wait for
 * the load. Those have deadlines of their own.
 *
 * <p>Created once by a side of a model engine; safe to share between threads.
 */
final class RetryingLoadGate implements LoadGate {
    private static final Duration MIN_DELAY = Duration.ofMillis(20);
    private static final Duration MAX_DELAY = Duration.ofSeconds(1);
    private static final int MAX_ATTEMPTS = 60;

    private final LoadPermits permits;
    private final ScheduledExecutorService scheduler;

    RetryingLoadGate(LoadPermits permits, ScheduledExecutorService scheduler) {
        this.permits = permits;
        this.scheduler = scheduler;
    }

    @Override
    public CompletableFuture<Either<Refusal, Runnable>> acquire(LoadPriority priority) {
        CompletableFuture<Either<Refusal, Runnable>> result = new CompletableFuture<>();
        attempt(priority, 1, result);
        return result;
    }

    private void attempt(LoadPriority priority, int attempt, CompletableFuture<Either<Refusal, Runnable>> result) {
        permits.acquire(priority)
                .exceptionally(failure -> Either.left(Failures.toRefusal(failure, ResultCode.LIMIT_UNAVAILABLE)))
                .thenAccept(permit -> permit.peek(granted -> result.complete(Either.right(release(granted))))
                        .peekLeft(refusal -> refused(priority, attempt, refusal, result)));
    }

    private void refused(
            LoadPriority priority, int attempt, Refusal refusal, CompletableFuture<Either<Refusal, Runnable>> result) {
        Duration delay = clamp(refusal.retry().orElse(MAX_DELAY));
        if (attempt < MAX_ATTEMPTS) {
            scheduler.schedule(() -> attempt(priority, attempt + 1, result), delay.toMillis(), TimeUnit.MILLISECONDS);
        } else {
            result.complete(Either.left(
                    Refusal.of(ResultCode.LOAD_FAILED, "no permit for a load").withRetryAfter(delay)));
        }
    }

    private static Runnable release(LoadPermit permit) {
        return permit::release;
    }

    private static Duration clamp(Duration delay) {
        Duration atLeast = delay.compareTo(MIN_DELAY) < 0 ? MIN_DELAY : delay;
        return atLeast.compareTo(MAX_DELAY) > 0 ? MAX_DELAY : atLeast;
    }
}
