package io.parsleycleat.core.connection.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * Where an HTTP/1.1 message ends. A message whose end another reader could see elsewhere is not decoded, since its rest
 * would be taken for the next message (RFC 9112, sections 6 and 11.2).
 *
 * <p>Stateless.
 */
public final class MessageFraming {
    private MessageFraming() {}

    /**
     * Returns the configuration that all decoders start from. It does not depend on the system properties that change
     * Netty's defaults. Lines end with CRLF only: RFC 9112, section 2.2, lets a recipient take a line feed alone, but
     * not every reader before or behind this one does.
     */
    public static HttpDecoderConfig newDecoderConfig() {
        return new HttpDecoderConfig().setStrictLineParsing(true).setUseRfc9112TransferEncoding(true);
    }

    /**
     * Refuses a head that leaves open where its body ends, or whose body has a coding that is not undone here. Netty
     * checks lengths, lines and chunks by itself.
     *
     * @throws IllegalArgumentException if the head has a transfer coding other than chunked alone, or one beside a
     *     length or in a version that has none
     */
    public static void check(HttpMessage message) {
        HttpHeaders headers = message.headers();
        if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return;
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
            throw new IllegalArgumentException("a transfer coding other than chunked alone");
        }
        if (headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            throw new IllegalArgumentException("both a transfer coding and a length");
        }
        if (!HttpVersion.HTTP_1_1.equals(message.protocolVersion())) {
            throw new IllegalArgumentException("a transfer coding in " + message.protocolVersion());
        }
    }
}
