package io.parsleycleat.core.connection.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.ScheduledFuture;
import io.parsleycleat.core.process.common.ReadPass;
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
    private @Nullable ScheduledFuture<?> next;

    /** Starts the timer again, with another action. */
    void start(ChannelHandlerContext context, Duration delay, Runnable action) {
        stop();
        next = context.executor()
                .schedule(
                        () -> next = ReadPass.thenRun(context.executor(), action),
                        delay.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    void stop() {
        ScheduledFuture<?> current = next;
        if (current != null) {
            current.cancel(false);
            next = null;
        }
    }
}
