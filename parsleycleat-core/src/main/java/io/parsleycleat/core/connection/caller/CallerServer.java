package io.parsleycleat.core.connection.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerUpgradeHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http2.Http2CodecUtil;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ServerUpgradeCodec;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.parsleycleat.core.connection.body.BodyMemory;
import io.parsleycleat.core.connection.http.MessageFraming;
import io.parsleycleat.core.process.common.ReadPass;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Serves HTTP/1.1 and, by prior knowledge or upgrade, HTTP/2 on one address.
 *
 * <p>Created once for callers and once for the admin address; safe to share between threads.
 */
public final class CallerServer implements AutoCloseable {
    private static final int MAX_CONCURRENT_STREAMS = 256;
    private static final long GRACEFUL_SHUTDOWN_TIMEOUT_MILLIS = 600_000;
    private static final int MAX_INITIAL_LINE_BYTES = 8 * 1024;
    /** Headers that are decoded whatever the limit, so that a limit that is raised later holds for open connections. */
    private static final int MIN_DECODER_HEADER_BYTES = 64 * 1024;

    private static final Duration BUSY_RETRY = Duration.ofSeconds(1);

    private final EventLoopGroup loops;
    private final Supplier<CallerLimits> currentLimits;
    private final CallerService service;
    private final BodyMemory bodyMemory;
    private final ConnectionRegistry connections;
    private final Object lock = new Object();
    private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger pendingPasses = new AtomicInteger();
    private Optional<Channel> listening = Optional.empty();
    private volatile boolean draining;

    /** Creates a server that does not listen yet. */
    public CallerServer(EventLoopGroup loops, CallerLimits limits, CallerService service) {
        this(loops, () -> limits, service);
    }

    /**
     * Creates a server whose limits may change, also for open connections.
     *
     * @param limits as of now; the number of connections is taken once, and a connection takes no larger headers than
     *     the limit, or {@value #MIN_DECODER_HEADER_BYTES} bytes, at its start
     */
    public CallerServer(EventLoopGroup loops, Supplier<CallerLimits> limits, CallerService service) {
        this(loops, limits, BodyMemory.ofHeap(), service);
    }

    /**
     * Creates a server whose limits may change, also for open connections.
     *
     * @param bodyMemory what the bodies of all requests may take together, from their head to the end of the answer
     */
    CallerServer(EventLoopGroup loops, Supplier<CallerLimits> limits, BodyMemory bodyMemory, CallerService service) {
        this.loops = loops;
        this.currentLimits = limits;
        this.bodyMemory = bodyMemory;
        this.service = service;
        this.connections = new ConnectionRegistry(limits.get().maxConnections());
    }

    /** Starts to listen and returns the bound address. */
    public InetSocketAddress listen(InetSocketAddress address) {
        Channel channel = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ConnectionInitializer())
                .bind(address)
                .syncUninterruptibly()
                .channel();
        synchronized (lock) {
            listening = Optional.of(channel);
        }
        return (InetSocketAddress) channel.localAddress();
    }

    /** Closes the connections on which the last answer has left and no request has arrived since. */
    public void closeIdle() {
        connections.closeIdle();
    }

    /** Returns the memory that the bodies of requests take. */
    public long bodyBytes() {
        return bodyMemory.takenBytes();
    }

    /** Returns how many connections are open. */
    public int openConnections() {
        return connections.open();
    }

    /**
     * Returns how many connections carry a request, a part of one, or bytes of an answer that have not left yet. Those
     * that only wait for their caller to close its end do not count.
     */
    public int activeConnections() {
        return connections.active() + pendingPasses.get();
    }

    /**
     * Reads what waits in the sockets for the last time. After that, requests that were read as a whole are answered,
     * those that were read in part are refused, and connections without a request are closed. Meanwhile connections
     * count as active. An HTTP/2 connection gets a GOAWAY, and the same holds for each of its requests.
     */
    public void endReading() {
        open.forEach(channel -> {
            pendingPasses.incrementAndGet();
            ReadPass.thenRunFromAnyThread(channel.eventLoop(), () -> {
                channel.pipeline().fireUserEventTriggered(ConnectionEvent.END_READING);
                pendingPasses.decrementAndGet();
            });
        });
    }

    /** Returns how many bytes of answers the connections have not taken from this process yet. */
    public long unsentBytes() {
        return open.stream()
                .map(channel -> channel.unsafe().outboundBuffer())
                .filter(Objects::nonNull)
                .mapToLong(ChannelOutboundBuffer::totalPendingWriteBytes)
                .sum();
    }

    /** Asks callers to leave: each HTTP/1.1 connection closes after its next answer, HTTP/2 ones get a GOAWAY. */
    public void drain() {
        draining = true;
        open.stream()
                .filter(channel -> channel.pipeline().get(Http2FrameCodec.class) != null)
                .forEach(Channel::close);
    }

    /**
     * Accepts the connections that wait for it, which may bring requests, and then stops to accept any. Meanwhile the
     * server counts as having an active connection. Those that are open go on.
     */
    public void stopListening() {
        synchronized (lock) {
            listening.ifPresent(channel -> {
                pendingPasses.incrementAndGet();
                ReadPass.thenRunFromAnyThread(channel.eventLoop(), () -> {
                    channel.close();
                    pendingPasses.decrementAndGet();
                });
            });
            listening = Optional.empty();
        }
    }

    /** Stops to accept connections at once; those that are open go on. */
    @Override
    public void close() {
        synchronized (lock) {
            listening.ifPresent(Channel::close);
            listening = Optional.empty();
        }
    }

    /** Sets up the pipeline of each connection. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            Optional<ConnectionRegistry.Entry> entry = connections.register(channel);
            CallerLimits limits = currentLimits.get();
            Http1Codec codec = new Http1Codec(MessageFraming.newDecoderConfig()
                    .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                    .setMaxHeaderSize(decoderHeaderBytes()));
            if (entry.isEmpty()) {
                channel.pipeline()
                        .addLast(
                                codec,
                                new CallerHandler(
                                        currentLimits,
                                        bodyMemory,
                                        this::refuseBusy,
                                        false,
                                        codec::holdsPartOfHead,
                                        null,
                                        () -> true));
                return;
            }
            HttpServerUpgradeHandler upgrade = new UpgradeHandler(
                    codec,
                    protocol -> AsciiString.contentEquals(Http2CodecUtil.HTTP_UPGRADE_PROTOCOL_NAME, protocol)
                            ? new Http2ServerUpgradeCodec(frameCodec(), streamHandlers(entry.get()))
                            : null,
                    limits.maxBodyBytes());
            ProtocolDetector detector = new ProtocolDetector(List.of(codec, upgrade), new Http2Starter(entry.get()));
            open.add(channel);
            channel.closeFuture().addListener(f -> entry.get().close());
            channel.pipeline()
                    .addLast(detector, codec, upgrade, new Http1Starter())
                    .addLast(new CallerHandler(
                            currentLimits,
                            bodyMemory,
                            service,
                            false,
                            codec::holdsPartOfHead,
                            entry.get(),
                            () -> draining));
        }

        private void refuseBusy(CallerRequest request, CallerExchange exchange) {
            Refusal refusal = Refusal.of(ResultCode.TOO_MANY_CONNECTIONS).withRetryAfter(BUSY_RETRY);
            ErrorAnswer.send(exchange, UUID.randomUUID().toString(), refusal);
        }
    }

    private int decoderHeaderBytes() {
        return Math.max(currentLimits.get().maxHeaderBytes(), MIN_DECODER_HEADER_BYTES);
    }

    /**
     * Upgrades to HTTP/2 with a request whose end is known from its head. One that was not decoded is left to be
     * refused, and one in chunks, which may still turn out to be malformed, is served without an upgrade.
     */
    private static final class UpgradeHandler extends HttpServerUpgradeHandler {
        UpgradeHandler(SourceCodec sourceCodec, UpgradeCodecFactory upgradeCodecs, int maxBodyBytes) {
            super(sourceCodec, upgradeCodecs, maxBodyBytes);
        }

        @Override
        protected boolean shouldHandleUpgradeRequest(HttpRequest request) {
            return request.decoderResult().isSuccess() && !HttpUtil.isTransferEncodingChunked(request);
        }
    }

    /** Ends the wait for an upgrade once the connection turned out to speak HTTP/1.1. */
    private static final class Http1Starter extends SimpleChannelInboundHandler<HttpMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpMessage message) {
            ChannelPipeline pipeline = context.pipeline();
            if (pipeline.get(HttpServerUpgradeHandler.class) != null) {
                pipeline.remove(HttpServerUpgradeHandler.class);
            }
            context.fireChannelRead(ReferenceCountUtil.retain(message));
            pipeline.remove(this);
        }
    }

    /** Takes over once the connection turned out to speak HTTP/2. */
    private final class Http2Starter extends ChannelInitializer<Channel> {
        private final ConnectionRegistry.Entry connection;

        Http2Starter(ConnectionRegistry.Entry connection) {
            this.connection = connection;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline().addLast(frameCodec()).addLast(streamHandlers(connection));
        }
    }

    private Http2FrameCodec frameCodec() {
        return Http2FrameCodecBuilder.forServer()
                .gracefulShutdownTimeoutMillis(GRACEFUL_SHUTDOWN_TIMEOUT_MILLIS)
                .initialSettings(Http2Settings.defaultSettings()
                        .maxConcurrentStreams(MAX_CONCURRENT_STREAMS)
                        .maxHeaderListSize(decoderHeaderBytes()))
                .build();
    }

    /** Returns what stands behind the frame codec of an HTTP/2 connection. */
    private ChannelHandler[] streamHandlers(ConnectionRegistry.Entry connection) {
        Http2IdleClose idleClose = new Http2IdleClose(currentLimits, connection);
        return new ChannelHandler[] {multiplexer(idleClose), idleClose};
    }

    private Http2MultiplexHandler multiplexer(Http2IdleClose idleClose) {
        return new Http2MultiplexHandler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel stream) {
                idleClose.streamOpened(stream);
                stream.pipeline()
                        .addLast(new Http2StreamFrameToHttpObjectCodec(true))
                        .addLast(new CallerHandler(
                                currentLimits, bodyMemory, service, true, () -> false, null, () -> draining));
            }
        });
    }
}
