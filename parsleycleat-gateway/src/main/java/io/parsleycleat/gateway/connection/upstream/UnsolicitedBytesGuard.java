package io.parsleycleat.gateway.connection.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection when bytes arrive while no request is pending, before the decoder can take them for a part of
 * the next response.
 *
 * <p>Created for each connection; used on its event loop only.
 */
final class UnsolicitedBytesGuard extends ChannelInboundHandlerAdapter {
    private @Nullable UpstreamConnection connection;

    void setConnection(UpstreamConnection newConnection) {
        connection = newConnection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        UpstreamConnection current = connection;
        if (current == null || current.isIdle()) {
            ReferenceCountUtil.release(message);
            context.close();
            return;
        }
        context.fireChannelRead(message);
    }
}
