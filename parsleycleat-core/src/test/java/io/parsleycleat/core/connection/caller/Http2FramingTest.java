package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests over HTTP/2 that RFC 9113, section 8, calls malformed are not served. */
public class Http2FramingTest extends CallerServerFixture {
    private final Queue<String> served = new ConcurrentLinkedQueue<>();

    @BeforeMethod
    public void listen() {
        served.clear();
        listen(() -> CallerLimits.DEFAULT, (request, exchange) -> {
            served.add(request.body().toStringUtf8());
            exchange.respond(200, List.of(), ByteString.EMPTY);
        });
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {"transfer-encoding", "chunked"},
            {"connection", "keep-alive"},
            {"keep-alive", "timeout=5"},
            {"proxy-connection", "keep-alive"},
            {"upgrade", "h2c"},
            {"te", "gzip"},
            {"content-length", "3"},
            {"content-length", "1"},
            {"content-length", "+2"},
            {"Content-Length", "2"},
            {"x\r\ncontent-length", "2"},
            {"x", "a\r\ncontent-length: 2"},
            {":unknown", "x"},
            {":path", "/other"},
        };
    }

    // Guards against a request that becomes another one when it is passed on over HTTP/1.1.
    @Test(dataProvider = "malformed", timeOut = 30_000)
    public void malformedRequestIsNotServed(String name, String value) throws Exception {
        assertEquals(send(name, value), "no answer or 400");
        assertEquals(List.copyOf(served), List.of());
    }

    // Guards against a test that refuses all requests.
    @Test(timeOut = 30_000)
    public void soundRequestIsServed() throws Exception {
        assertEquals(send("content-length", "2"), "200");
        assertEquals(send("te", "trailers"), "200");
        assertEquals(List.copyOf(served), List.of("ok", "ok"));
    }

    /** Sends a request with the body "ok" and one more header, and returns the status of the answer. */
    private String send(String name, String value) throws Exception {
        CompletableFuture<String> answer = new CompletableFuture<>();
        Channel connection = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new ClientInitializer())
                .connect(InetAddress.getLoopbackAddress(), port)
                .sync()
                .channel();
        connection.closeFuture().addListener(f -> answer.complete("no answer or 400"));
        Http2StreamChannel stream = new Http2StreamChannelBootstrap(connection)
                .handler(new AnswerReader(answer))
                .open()
                .get(20, TimeUnit.SECONDS);
        stream.closeFuture().addListener(f -> answer.complete("no answer or 400"));
        Http2Headers headers = new DefaultHttp2Headers(false)
                .method("POST")
                .scheme("http")
                .authority("a")
                .path("/first");
        headers.add(name, value);
        stream.write(new DefaultHttp2HeadersFrame(headers));
        stream.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.copiedBuffer("ok", StandardCharsets.US_ASCII), true));
        try {
            return answer.get(20, TimeUnit.SECONDS);
        } finally {
            connection.close().sync();
        }
    }

    /** Speaks HTTP/2 without the checks that a sound client makes. */
    private static final class ClientInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(Http2FrameCodecBuilder.forClient()
                            .validateHeaders(false)
                            .build())
                    .addLast(new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()));
        }
    }

    /** Completes with the status of an answer. */
    private static final class AnswerReader extends SimpleChannelInboundHandler<Http2HeadersFrame> {
        private final CompletableFuture<String> answer;

        AnswerReader(CompletableFuture<String> answer) {
            this.answer = answer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Http2HeadersFrame frame) {
            String status = String.valueOf(frame.headers().status());
            answer.complete(status.equals("400") ? "no answer or 400" : status);
        }
    }
}
