package io.parsleycleat.core.connection.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the responses on one connection, each to a request that was announced by {@link #expectResponseTo}. What is
 * no response fails its decoding. Interim responses are passed over (RFC 9110, section 15.2). Bytes that belong to no
 * request close the connection, before the end of the response that they follow is passed on, so that the connection is
 * not used again.
 *
 * <p>Created for each connection; used on its event loop only.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    /** Responses without a final status that are passed over before one with it. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    /** Method of the last request; a response to HEAD has no body whatever its headers say. */
    private HttpMethod requestMethod = HttpMethod.GET;

    /** Whether a request has no whole final response yet. */
    private boolean awaitsResponse;
    /** Whether the message that is being decoded announces another one. */
    private boolean interim;

    private int interimCount;

    /** Creates a decoder with one of {@link MessageFraming}'s configurations. */
    public ResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Announces a request, before it is written. */
    public void expectResponseTo(HttpMethod method) {
        requestMethod = method;
        awaitsResponse = true;
        interimCount = 0;
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
        if (message instanceof HttpResponse response) {
            checkInterim(response.status());
        }
        return message;
    }

    private void checkInterim(HttpResponseStatus status) {
        interim = status.codeClass() == HttpStatusClass.INFORMATIONAL;
        if (!interim) {
            return;
        }
        interimCount++;
        if (status.code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            throw new IllegalArgumentException("a switch to another protocol, for which no request asks");
        }
        if (interimCount > MAX_INTERIM_RESPONSES) {
            throw new IllegalArgumentException("more than " + MAX_INTERIM_RESPONSES + " interim responses");
        }
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
        if (out.size() == before) {
            return;
        }
        if (interim) {
            interim = false;
            out.subList(before, out.size()).removeIf(ResponseDecoder::isSound);
        } else if (out.get(out.size() - 1) instanceof LastHttpContent) {
            awaitsResponse = false;
            closeBehindUnasked(context, in);
        }
    }

    private static boolean isSound(Object message) {
        return message instanceof HttpObject object && object.decoderResult().isSuccess();
    }

    private static void closeBehindUnasked(ChannelHandlerContext context, ByteBuf in) {
        if (in.isReadable()) {
            in.skipBytes(in.readableBytes());
            context.close();
        }
    }
}
