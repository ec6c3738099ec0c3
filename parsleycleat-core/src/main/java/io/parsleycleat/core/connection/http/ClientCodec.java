package io.parsleycleat.core.connection.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.List;

/**
 * Encodes the requests of a client's connection, one at a time, and decodes their responses, like Netty's {@code
 * HttpClientCodec} but as strictly as {@link ResponseDecoder}.
 *
 * <p>Created for each connection; used on its event loop only.
 */
public final class ClientCodec extends CombinedChannelDuplexHandler<ResponseDecoder, HttpRequestEncoder> {
    /** Creates a codec with Netty's limits for the size of a head. */
    public ClientCodec() {
        ResponseDecoder decoder = new ResponseDecoder(MessageFraming.newDecoderConfig());
        init(decoder, new Encoder(decoder));
    }

    /** Announces each request to the decoder. */
    private static final class Encoder extends HttpRequestEncoder {
        private final ResponseDecoder decoder;

        Encoder(ResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void encode(ChannelHandlerContext context, Object message, List<Object> out) throws Exception {
            if (message instanceof HttpRequest request) {
                decoder.expectResponseTo(request.method());
            }
            super.encode(context, message, out);
        }
    }
}
