package io.parsleycleat.core.connection.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http2.Http2CodecUtil;
import java.util.List;

/**
 * Decides by the first bytes of a connection whether it speaks HTTP/2 by prior knowledge or HTTP/1.1, and then leaves
 * the pipeline.
 *
 * <p>Created for each connection; used on its event loop only.
 */
final class ProtocolDetector extends ByteToMessageDecoder {
    private static final ByteBuf PREFACE = Http2CodecUtil.connectionPrefaceBuf();

    private final List<ChannelHandler> http1;
    private final ChannelHandler http2;

    /**
     * Creates a detector for the front of the pipeline.
     *
     * @param http1 handlers behind it that an HTTP/2 connection has no use for
     * @param http2 takes their place
     */
    ProtocolDetector(List<ChannelHandler> http1, ChannelHandler http2) {
        this.http1 = http1;
        this.http2 = http2;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        int length = Math.min(in.readableBytes(), PREFACE.readableBytes());
        if (!ByteBufUtil.equals(PREFACE, PREFACE.readerIndex(), in, in.readerIndex(), length)) {
            context.pipeline().remove(this);
        } else if (length == PREFACE.readableBytes()) {
            http1.forEach(context.pipeline()::remove);
            context.pipeline().addAfter(context.name(), null, http2);
            context.pipeline().remove(this);
        }
    }
}
