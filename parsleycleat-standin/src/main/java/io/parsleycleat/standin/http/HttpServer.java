package io.parsleycleat.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP/1.1 server on event loops of its own.
 *
 * <p>Created by each stand-in; safe to share between threads.
 */
public final class HttpServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int THREADS = 2;

    private final EventLoopGroup loops = new NioEventLoopGroup(THREADS, new DefaultThreadFactory("stand-in", true));
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final HttpHandler handler;
    private final Channel listening;
    private volatile boolean refusing;

    /** Starts to listen; port 0 takes a free one. */
    public HttpServer(InetSocketAddress address, HttpHandler handler) {
        this.handler = handler;
        this.listening = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Initializer())
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the address that the server listens at. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Returns the base of the server's URLs. */
    public URI uri() {
        return URI.create("http://" + address().getAddress().getHostAddress() + ":"
                + address().getPort());
    }

    /** Returns the event loops as a scheduler. */
    public ScheduledExecutorService scheduler() {
        return loops;
    }

    /** Closes all connections, as a crash would. */
    public void dropConnections() {
        accepted.close();
    }

    /** Sets whether new connections are closed at once, as those to a process that is down would be. */
    public void setRefusing(boolean value) {
        refusing = value;
    }

    @Override
    public void close() {
        listening.close().syncUninterruptibly();
        accepted.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Builds the pipeline of accepted connections. Created once; shared between event loops. */
    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            if (refusing) {
                channel.close();
                return;
            }
            accepted.add(channel);
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpServerKeepAliveHandler())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new RequestReader());
        }
    }

    /** Hands each request to the handler. Created for each connection; used by its event loop. */
    private final class RequestReader extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            HttpExchange exchange = new HttpExchange(context.channel(), request);
            try {
                handler.handle(exchange);
            } catch (RuntimeException e) {
                exchange.respond(500, Json.error(String.valueOf(e)));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
