package io.parsleycleat.gateway.connection.upstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes answers and knows to which kind of request the next one belongs.
 *
 * <p>Created for each connection; used on its event loop only.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    private HttpMethod method = HttpMethod.GET;

    AnswerDecoder() {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
    }

    void expect(HttpMethod newMethod) {
        method = newMethod;
    }

    /** Returns whether bytes are left behind a whole answer. */
    boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    boolean hasNoBody(int status) {
        return HttpMethod.HEAD.equals(method) || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean toHead = HttpMethod.HEAD.equals(method) && message instanceof HttpResponse;
        return toHead || super.isContentAlwaysEmpty(message);
    }
}
