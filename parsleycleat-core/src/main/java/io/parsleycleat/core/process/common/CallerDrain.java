package io.parsleycleat.core.process.common;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.caller.CallerServer;
import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

/** Ends callers' connections at a planned stop, in the time that it has left. Stateless. */
public final class CallerDrain {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Part of the time that is left for the answers to what is read last. */
    private static final Duration LAST_ANSWERS_TIME = Duration.ofMillis(200);
    /** How long the process waits for callers that have their last answer to close their end. */
    private static final Duration CALLERS_CLOSE_TIMEOUT = Duration.ofMillis(300);

    private CallerDrain() {}

    /**
     * Accepts no more connections, closes the idle ones and waits for answers that have not left yet. When there are
     * none, or the time is nearly over, it reads for the last time and answers that too.
     *
     * @param openRequests how many requests have no answer yet
     */
    public static void finish(
            CallerServer callers,
            LongSupplier openRequests,
            ScheduledExecutorService scheduler,
            TimeSource time,
            Duration timeLeft) {
        long endNanos = time.monotonicNanos() + timeLeft.toNanos();
        callers.stopListening();
        LongSupplier unfinished = () -> openRequests.getAsLong() + callers.activeConnections();
        Drain.await(
                scheduler,
                () -> {
                    callers.closeIdle();
                    return unfinished.getAsLong();
                },
                timeLeft.minus(LAST_ANSWERS_TIME));
        callers.endReading();
        if (!Drain.await(scheduler, unfinished, timeUntil(endNanos, time))) {
            logger.atWarning().log(
                    "%d connections of callers still open, %d bytes of answers not sent",
                    callers.openConnections(), callers.unsentBytes());
        }
        Duration left = timeUntil(endNanos, time);
        Drain.await(
                scheduler,
                callers::openConnections,
                left.compareTo(CALLERS_CLOSE_TIMEOUT) < 0 ? left : CALLERS_CLOSE_TIMEOUT);
    }

    private static Duration timeUntil(long endNanos, TimeSource time) {
        return Duration.ofNanos(Math.max(0, endNanos - time.monotonicNanos()));
    }
}
