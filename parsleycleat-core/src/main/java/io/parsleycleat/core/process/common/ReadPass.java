package io.parsleycleat.core.process.common;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Lets an event loop read what waits in its sockets before a timer acts: while the loop was held up, the bytes that the
 * timer waits for may have arrived. Stateless.
 */
public final class ReadPass {
    /**
     * {@code NioEventLoop} runs a task that is scheduled with a delay only after its next pass over the sockets. A task
     * without a delay may run before.
     */
    private static final long DELAY_MILLIS = 1;

    private ReadPass() {}

    /** Runs an action once the event loop has read what waits in the sockets. Called on the loop. */
    public static ScheduledFuture<?> thenRun(EventExecutor loop, Runnable action) {
        return loop.schedule(action, DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs an action like {@link #thenRun}. Called by any thread: what it schedules itself while the loop is held up
     * would be due before the pass.
     */
    public static void thenRunFromAnyThread(EventExecutor loop, Runnable action) {
        loop.execute(() -> thenRun(loop, action));
    }
}
