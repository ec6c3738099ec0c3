package io.parsleycleat.core.process.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.limits.LoadPermit;
import io.parsleycleat.core.process.limits.LoadPermits;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.slots.LoadPriority;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RetryingLoadGateTest {
    private static final Refusal USED_UP = Refusal.of(ResultCode.RATE_EXCEEDED).withRetryAfter(Duration.ofMillis(1));

    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger released = new AtomicInteger();
    private ScheduledExecutorService scheduler;

    @BeforeMethod
    public void start() {
        scheduler = Executors.newSingleThreadScheduledExecutor();
        asked.set(0);
        released.set(0);
    }

    @AfterMethod
    public void stop() {
        scheduler.shutdownNow();
    }

    @Test
    public void waitsWhileTheRateIsUsedUp() throws Exception {
        LoadPermit permit = released::incrementAndGet;
        LoadPermits permits = priority -> CompletableFuture.completedFuture(
                asked.incrementAndGet() < 4 ? Either.left(USED_UP) : Either.right(permit));
        Either<Refusal, Runnable> granted = new RetryingLoadGate(permits, scheduler)
                .acquire(LoadPriority.PAYING)
                .get(20, TimeUnit.SECONDS);
        assertTrue(granted.isRight(), granted.toString());
        assertEquals(asked.get(), 4);
        granted.get().run();
        assertEquals(released.get(), 1);
    }

    @Test
    public void givesUpAsAFailedLoadAndNotAsTheAccountsRate() throws Exception {
        LoadPermits permits = priority -> CompletableFuture.failedFuture(USED_UP.toException());
        Either<Refusal, Runnable> refused = new RetryingLoadGate(permits, scheduler)
                .acquire(LoadPriority.FREE)
                .get(20, TimeUnit.SECONDS);
        assertEquals(refused.getLeft().code(), ResultCode.LOAD_FAILED);
        assertTrue(refused.getLeft().retry().isPresent());
    }
}
