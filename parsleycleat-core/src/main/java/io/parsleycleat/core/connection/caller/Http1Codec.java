package io.parsleycleat.core.connection.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpServerUpgradeHandler;
import io.netty.handler.codec.http.HttpStatusClass;
import io.parsleycleat.core.connection.http.MessageFraming;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the requests of an HTTP/1.1 connection and encodes its answers, like Netty's {@code HttpServerCodec}, and
 * knows whether it holds a part of a head that is not whole yet.
 *
 * <p>Created for each connection; used on its event loop only.
 */
final class Http1Codec extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder>
        implements HttpServerUpgradeHandler.SourceCodec {
    /** Methods of the requests that were decoded and have no answer yet; they decide whether it has a body. */
    private final Queue<HttpMethod> unanswered = new ArrayDeque<>();

    private final RequestDecoder decoder;

    Http1Codec(HttpDecoderConfig config) {
        decoder = new RequestDecoder(config);
        init(decoder, new ResponseEncoder());
    }

    /**
     * Returns whether a part of a head was read behind the last message. Asked between reads only: during one, messages
     * that are not decoded yet count too.
     */
    boolean holdsPartOfHead() {
        return decoder.holdsPartOfHead();
    }

    @Override
    public void upgradeFrom(ChannelHandlerContext context) {
        context.pipeline().remove(this);
    }

    /** The decoder. Netty's keeps whole lines of a head as a message and the rest as bytes. */
    private final class RequestDecoder extends HttpRequestDecoder {
        private boolean lineDecoded;

        RequestDecoder(HttpDecoderConfig config) {
            super(config);
        }

        boolean holdsPartOfHead() {
            return lineDecoded || actualReadableBytes() > 0;
        }

        /** Also refuses, after the head and before the body, a message whose end is not clear. */
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            MessageFraming.check(message);
            return super.isContentAlwaysEmpty(message);
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) throws Exception {
            lineDecoded = true;
            return super.createMessage(initialLine);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
            int before = out.size();
            super.decode(context, in, out);
            out.stream()
                    .skip(before)
                    .filter(HttpRequest.class::isInstance)
                    .map(HttpRequest.class::cast)
                    .forEach(request -> {
                        lineDecoded = false;
                        unanswered.add(request.method());
                    });
        }
    }

    /** The encoder. An answer to HEAD has no body, and one that opens a tunnel has no encoding of it. */
    private final class ResponseEncoder extends HttpResponseEncoder {
        private @Nullable HttpMethod method;

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            method = unanswered.poll();
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
        }

        @Override
        protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean alwaysEmpty) {
            if (!alwaysEmpty
                    && HttpMethod.CONNECT.equals(method)
                    && response.status().codeClass() == HttpStatusClass.SUCCESS) {
                response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
            } else {
                super.sanitizeHeadersBeforeEncode(response, alwaysEmpty);
            }
        }
    }
}
