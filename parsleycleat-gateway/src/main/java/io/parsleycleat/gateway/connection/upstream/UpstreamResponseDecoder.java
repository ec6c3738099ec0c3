package io.parsleycleat.gateway.connection.upstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes HTTP responses. The request method is set before each request, because a response to HEAD has no body
 * whatever its headers say.
 *
 * <p>Created for each connection; used on its event loop only.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    private HttpMethod requestMethod = HttpMethod.GET;

    UpstreamResponseDecoder() {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
    }

    void expectResponseTo(HttpMethod newMethod) {
        requestMethod = newMethod;
    }

    /** Returns whether undecoded bytes follow a complete response. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    boolean hasNoBody(int status) {
        return HttpMethod.HEAD.equals(requestMethod) || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean respondsToHead = HttpMethod.HEAD.equals(requestMethod) && message instanceof HttpResponse;
        return respondsToHead || super.isContentAlwaysEmpty(message);
    }
}
