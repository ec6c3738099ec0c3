package io.parsleycleat.core.connection.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The timer of one caller's connection. When it is due, the event loop first reads what waits in the sockets: while the
 * loop was held up, the bytes that the timer waits for may have arrived. Reading them stops the timer.
 *
 * <p>Created by {@link CallerHandler}; used on the connection's event loop only.
 */
final class ConnectionTimer {
    /**
     * An event loop runs a task with a delay only after another pass over the sockets. A task without a delay may run
     * before.
     */
    private static final long READ_PASS_DELAY_MILLIS = 1;

    private @Nullable ScheduledFuture<?> next;

    /** Starts the timer again, with another action. */
    void start(ChannelHandlerContext context, Duration delay, Runnable action) {
        schedule(context, delay.toMillis(), () -> schedule(context, READ_PASS_DELAY_MILLIS, action));
    }

    void stop() {
        ScheduledFuture<?> current = next;
        if (current != null) {
            current.cancel(false);
            next = null;
        }
    }

    /** Runs an action once the event loop has read what waits in the sockets. */
    static void afterReadPass(EventLoop loop, Runnable action) {
        // Scheduled by another thread while the loop is held up, the action would be due before the pass.
        loop.execute(() -> loop.schedule(action, READ_PASS_DELAY_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void schedule(ChannelHandlerContext context, long delayMillis, Runnable action) {
        stop();
        next = context.executor().schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }
}
