package io.parsleycleat.core.connection.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Tells that bytes of a request were read, before they make up a message. Empty lines between requests do not count.
 *
 * <p>Created for each connection that speaks HTTP/1.1; used on its event loop only.
 */
final class HeadBytes extends ChannelInboundHandlerAdapter {
    private final Runnable whenRead;

    /** Creates a handler for the front of the pipeline. */
    HeadBytes(Runnable whenRead) {
        this.whenRead = whenRead;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes && bytes.forEachByte(b -> b == '\r' || b == '\n') >= 0) {
            whenRead.run();
        }
        context.fireChannelRead(message);
    }
}
