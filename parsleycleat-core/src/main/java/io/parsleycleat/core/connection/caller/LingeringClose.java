package io.parsleycleat.core.connection.caller;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import io.parsleycleat.core.process.time.TimeSource;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Ends a connection so that the caller can read all that was sent: tells it that nothing follows, and discards what it
 * still sends until it closes its end too. A connection that is closed with unread bytes is reset, and a reset destroys
 * what the caller has not read yet.
 *
 * <p>That is for a connection whose caller knows that no request is taken any more. From one that ends only because it
 * carries no request, nothing more is read ({@link #closeUnread}): its caller may be sending one, and may repeat it if
 * it was not read.
 *
 * <p>Created by {@link #close} for each HTTP/1.1 connection; used on its event loop only.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long LINGER_TIMEOUT_MILLIS = 1_000;
    private static final long MAX_DISCARDED_BYTES = 16L * 1024 * 1024;

    private final TimeSource time = TimeSource.SYSTEM;
    private final long closeNanos = time.monotonicNanos();
    private long discardedBytes;
    private long firstDiscardNanos;
    private @Nullable ScheduledFuture<?> timer;

    private LingeringClose() {}

    /** Ends a connection on which everything that was written has left. */
    static void close(Channel channel) {
        if (!(channel instanceof DuplexChannel) || !channel.isActive()) {
            channel.close();
            return;
        }
        if (channel.pipeline().get(LingeringClose.class) != null) {
            return;
        }
        channel.pipeline().addFirst(new LingeringClose());
        channel.config().setAutoRead(true);
        ((DuplexChannel) channel).shutdownOutput().addListener(f -> {
            if (!f.isSuccess()) {
                logger.atFine().log("connection of a caller closed at once: %s", f.cause());
                channel.close();
            }
        });
    }

    /**
     * Ends a connection that carries no request, without reading from it any more. A request that crosses the close
     * resets the connection, which tells its caller that the request was not read.
     *
     * @param lastAnswerNanos when the last answer left, which the caller must have time to read before a reset
     */
    static void closeUnread(Channel channel, @Nullable Long lastAnswerNanos) {
        channel.config().setAutoRead(false);
        long lingerMillis = lastAnswerNanos == null
                ? 0
                : LINGER_TIMEOUT_MILLIS
                        - TimeUnit.NANOSECONDS.toMillis(TimeSource.SYSTEM.monotonicNanos() - lastAnswerNanos);
        if (lingerMillis <= 0 || !(channel instanceof DuplexChannel duplex)) {
            channel.close();
            return;
        }
        duplex.shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), lingerMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        timer = context.executor().schedule(() -> context.close(), LINGER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            firstDiscardNanos = discardedBytes == 0 ? time.monotonicNanos() : firstDiscardNanos;
            discardedBytes += bytes.readableBytes();
        }
        ReferenceCountUtil.release(message);
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ScheduledFuture<?> current = timer;
        if (current != null) {
            current.cancel(false);
        }
        if (discardedBytes > 0) {
            logger.atInfo().log(
                    "%d bytes of a caller were read behind the close of its connection and discarded, the first after"
                            + " %d ms",
                    discardedBytes, TimeUnit.NANOSECONDS.toMillis(firstDiscardNanos - closeNanos));
        }
        context.fireChannelInactive();
    }
}
