package io.parsleycleat.core.process.common;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Waits at a stop until open work has ended. Stateless. */
public final class Drain {
    private static final Duration INTERVAL = Duration.ofMillis(20);

    private Drain() {}

    /** Waits until nothing is open or the time is over, and returns whether nothing is. */
    public static boolean await(ScheduledExecutorService scheduler, LongSupplier open, Duration timeout) {
        CountDownLatch empty = new CountDownLatch(1);
        ScheduledFuture<?> check = scheduler.scheduleWithFixedDelay(
                () -> {
                    if (open.getAsLong() == 0) {
                        empty.countDown();
                    }
                },
                0,
                INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        try {
            return pause(empty, timeout);
        } finally {
            check.cancel(false);
        }
    }

    /** Waits for a time. */
    public static void pause(Duration time) {
        pause(new CountDownLatch(1), time);
    }

    private static boolean pause(CountDownLatch latch, Duration time) {
        try {
            return latch.await(time.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
