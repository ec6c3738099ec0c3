package io.parsleycleat.core.connection.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Counts the bytes that travel between this process and others.
 *
 * <p>One a transport, part of the pipeline of each connection; safe to share between threads.
 */
@ChannelHandler.Sharable
public final class TrafficCounter extends ChannelDuplexHandler {
    private final Counter sent;
    private final Counter received;

    /** Creates a counter whose metrics are {@code peer.bytes.sent} and {@code peer.bytes.received}. */
    public TrafficCounter(MetricRegistry metrics) {
        this.sent = metrics.counter("peer.bytes.sent");
        this.received = metrics.counter("peer.bytes.received");
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            received.inc(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            sent.inc(bytes.readableBytes());
        }
        context.write(message, promise);
    }
}
