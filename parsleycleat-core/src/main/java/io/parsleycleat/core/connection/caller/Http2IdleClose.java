package io.parsleycleat.core.connection.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.Http2Connection;
import io.netty.handler.codec.http2.Http2ConnectionAdapter;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.parsleycleat.core.process.common.ReadPass;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Closes an HTTP/2 connection that carries no request for a while, or that is asked to end. Both leave the streams that
 * are open to their end and tell the caller which requests were not read. When the process reads no more, each open
 * stream is told so too.
 *
 * <p>Created for each connection that turned out to speak HTTP/2; used on its event loop only.
 */
final class Http2IdleClose extends ChannelInboundHandlerAdapter {
    private final Supplier<CallerLimits> limits;
    private final ConnectionRegistry.Entry connection;
    private final Set<Channel> openStreams = new LinkedHashSet<>();
    private Duration timeout = Duration.ZERO;

    Http2IdleClose(Supplier<CallerLimits> limits, ConnectionRegistry.Entry connection) {
        this.limits = limits;
        this.connection = connection;
    }

    /** Takes in a stream that a request is read from. */
    void streamOpened(Channel stream) {
        openStreams.add(stream);
        stream.closeFuture().addListener(f -> openStreams.remove(stream));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        if (context.pipeline().get(CallerHandler.class) != null) {
            context.pipeline().remove(CallerHandler.class);
            context.pipeline().remove(HeadBytes.class);
        }
        Http2Connection streams = context.pipeline().get(Http2FrameCodec.class).connection();
        streams.addListener(new Http2ConnectionAdapter() {
            @Override
            public void onStreamActive(Http2Stream stream) {
                connection.busy();
            }

            @Override
            public void onStreamClosed(Http2Stream stream) {
                if (streams.numActiveStreams() == 0) {
                    connection.idle();
                }
            }
        });
        watch(context);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ConnectionEvent.END_READING) {
            endReading(context);
        } else if (event == ConnectionEvent.CLOSE_WHEN_UNUSED) {
            ReadPass.thenRunFromAnyThread(context.channel().eventLoop(), context::close);
        } else if (!(event instanceof IdleStateEvent) || isUsed(context)) {
            context.fireUserEventTriggered(event);
        } else if (closeDelay().compareTo(timeout) > 0) {
            context.pipeline().remove(IdleStateHandler.class);
            watch(context);
        } else {
            ReadPass.thenRunFromAnyThread(context.channel().eventLoop(), () -> closeIfUnused(context));
        }
    }

    /** The GOAWAY counts a request that was read in part as taken, so that its stream has to end it. */
    private void endReading(ChannelHandlerContext context) {
        context.close();
        List.copyOf(openStreams)
                .forEach(stream -> stream.pipeline().fireUserEventTriggered(ConnectionEvent.END_READING));
    }

    private static void closeIfUnused(ChannelHandlerContext context) {
        if (!isUsed(context)) {
            context.close();
        }
    }

    private static boolean isUsed(ChannelHandlerContext context) {
        Http2FrameCodec codec = context.pipeline().get(Http2FrameCodec.class);
        return codec != null && codec.connection().numActiveStreams() > 0;
    }

    /** Stands first in the pipeline, where all bytes pass in both directions. */
    private void watch(ChannelHandlerContext context) {
        timeout = closeDelay();
        context.pipeline().addFirst(new IdleStateHandler(0, 0, timeout.toMillis(), TimeUnit.MILLISECONDS));
    }

    private Duration closeDelay() {
        return limits.get().idleTimeout().plus(CallerHandler.IDLE_CLOSE_MARGIN);
    }
}
