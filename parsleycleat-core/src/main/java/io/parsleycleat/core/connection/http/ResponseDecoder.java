package io.parsleycleat.core.connection.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the responses on one connection, each to a request that was announced by {@link #expectResponseTo}. What is
 * no response fails its decoding. Bytes that belong to no request close the connection, before the end of the response
 * that they follow is passed on, so that the connection is not used again.
 *
 * <p>Created for each connection; used on its event loop only.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    /** Method of the last request; a response to HEAD has no body whatever its headers say. */
    private HttpMethod requestMethod = HttpMethod.GET;

    /** Whether a request has no whole final response yet. */
    private boolean awaitsResponse;
    /** Whether the message that is being decoded announces another one. */
    private boolean interim;

    /** Creates a decoder with one of {@link MessageFraming}'s configurations. */
    public ResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Announces a request, before it is written. */
    public void expectResponseTo(HttpMethod method) {
        requestMethod = method;
        awaitsResponse = true;
    }

    /** Returns whether a response with this status to the last request has no body. */
    public boolean hasNoBody(int status) {
        return HttpMethod.HEAD.equals(requestMethod)
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        StatusLines.check(initialLine);
        HttpMessage message = super.createMessage(initialLine);
        interim = message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return message;
    }

    /** Also refuses, after the head and before the body, a response whose end is not clear. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        MessageFraming.check(message);
        boolean respondsToHead = HttpMethod.HEAD.equals(requestMethod) && message instanceof HttpResponse;
        return respondsToHead || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (!awaitsResponse) {
            closeBehindUnasked(context, in);
            return;
        }
        int before = out.size();
        super.decode(context, in, out);
        if (!interim && out.stream().skip(before).anyMatch(LastHttpContent.class::isInstance)) {
            awaitsResponse = false;
            closeBehindUnasked(context, in);
        }
    }

    private static void closeBehindUnasked(ChannelHandlerContext context, ByteBuf in) {
        if (in.isReadable()) {
            in.skipBytes(in.readableBytes());
            context.close();
        }
    }
}
