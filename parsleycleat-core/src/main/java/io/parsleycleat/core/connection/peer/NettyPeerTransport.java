package io.parsleycleat.core.connection.peer;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.peer.Hello;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Connections to other processes over TCP: length-prefixed protobuf frames, one outgoing connection for each peer.
 *
 * <p>Created once by the process; safe to share between threads. Handlers run on the connection's event loop.
 */
public final class NettyPeerTransport implements PeerClient, FrameRouter, AutoCloseable {
    /** Version of the frames that this build speaks. */
    public static final int PROTOCOL_VERSION = 1;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long CLOSE_TIMEOUT_MILLIS = 500;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int SILENT_INTERVALS = 3;
    private static final Duration HELLO_TIMEOUT = Duration.ofSeconds(2);

    private final ProcessIdentity identity;
    private final EventLoopGroup loops;
    private final LongSupplier configurationVersion;
    private final BiConsumer<PeerChannel, Frame> observer;
    private final TrafficCounter traffic;
    private final Duration keepAlive;
    private final Map<Frame.BodyCase, FrameHandler> handlers = new ConcurrentHashMap<>();
    private final Map<String, OutgoingConnection> outgoing = new ConcurrentHashMap<>();
    private final Map<Channel, Boolean> accepted = new ConcurrentHashMap<>();

    /** Creates a transport whose traffic nobody counts. */
    public NettyPeerTransport(
            ProcessIdentity identity,
            EventLoopGroup loops,
            LongSupplier configurationVersion,
            BiConsumer<PeerChannel, Frame> observer) {
        this(identity, loops, configurationVersion, observer, new TrafficCounter(new MetricRegistry()));
    }

    /**
     * Creates a transport that sends nothing yet.
     *
     * @param configurationVersion the version that is told with every frame
     * @param observer sees every frame that arrives, before its handler
     */
    public NettyPeerTransport(
            ProcessIdentity identity,
            EventLoopGroup loops,
            LongSupplier configurationVersion,
            BiConsumer<PeerChannel, Frame> observer,
            TrafficCounter traffic) {
        this(identity, loops, configurationVersion, observer, traffic, Duration.ZERO);
    }

    /**
     * Creates a transport that notices silent connections.
     *
     * @param keepAlive the pause after which a frame is sent on an idle connection; one on which nothing arrives for
     *     three times as long is closed. Zero for neither
     */
    public NettyPeerTransport(
            ProcessIdentity identity,
            EventLoopGroup loops,
            LongSupplier configurationVersion,
            BiConsumer<PeerChannel, Frame> observer,
            TrafficCounter traffic,
            Duration keepAlive) {
        this.identity = identity;
        this.loops = loops;
        this.configurationVersion = configurationVersion;
        this.observer = observer;
        this.traffic = traffic;
        this.keepAlive = keepAlive;
    }

    // Public operations

    /** Starts to accept connections and returns the bound address. */
    public InetSocketAddress listen(InetSocketAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(() -> new NettyPeerChannel(this, IpAddresses.format(address))));
        Channel channel = bootstrap.bind(address).syncUninterruptibly().channel();
        accepted.put(channel, true);
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void register(Frame.BodyCase kind, FrameHandler handler) {
        if (handlers.putIfAbsent(kind, handler) != null) {
            throw new IllegalStateException("two handlers for " + kind);
        }
    }

    @Override
    public CompletableFuture<Frame> request(String peerAddress, Frame.Builder frame, Duration timeout) {
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        outgoing(peerAddress).whenOpen((channel, failure) -> {
            if (reply.isDone()) {
                logger.atFine().with(LogKeys.PEER, peerAddress).log("a request was given up before it could be sent");
            } else if (channel == null) {
                reply.completeExceptionally(failure);
            } else {
                request(channel, frame, timeout, reply);
            }
        });
        return reply;
    }

    private static void request(
            NettyPeerChannel channel, Frame.Builder frame, Duration timeout, CompletableFuture<Frame> reply) {
        try {
            channel.request(frame, timeout).whenComplete((answer, failed) -> {
                if (failed == null) {
                    reply.complete(answer);
                } else {
                    reply.completeExceptionally(Failures.unwrap(failed));
                }
            });
        } catch (RuntimeException | Error e) {
            reply.completeExceptionally(e);
        }
    }

    @Override
    public void send(String peerAddress, Frame.Builder frame) {
        outgoing(peerAddress).whenOpen((channel, failure) -> {
            if (channel == null) {
                logger.atFine().with(LogKeys.PEER, peerAddress).log("a frame could not be sent");
            } else {
                channel.send(frame.build());
            }
        });
    }

    @Override
    public CompletableFuture<PeerChannel> connect(String peerAddress) {
        CompletableFuture<PeerChannel> connected = new CompletableFuture<>();
        outgoing(peerAddress).whenOpen((channel, failure) -> {
            if (channel == null) {
                connected.completeExceptionally(failure);
            } else {
                connected.complete(channel);
            }
        });
        return connected;
    }

    /** Closes every connection once what was handed to it has left, waiting for that a bounded time. */
    @Override
    public void close() {
        List<Channel> open = List.copyOf(accepted.keySet());
        open.forEach(channel -> {
            if (channel instanceof SocketChannel) {
                closeBehindWrites(channel);
            } else {
                channel.close();
            }
        });
        open.forEach(channel -> channel.closeFuture().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS));
    }

    private static void closeBehindWrites(Channel channel) {
        ChannelHandlerContext first = channel.pipeline().firstContext();
        if (first == null) {
            channel.close();
            return;
        }
        // Passes by the encoders, which would make an empty frame of it.
        first.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    // Used by the channels

    Hello hello() {
        return Hello.newBuilder()
                .setVmName(identity.vmName())
                .setRole(identity.role().label())
                .setIncarnation(identity.incarnation())
                .setDataCentre(identity.dataCentre())
                .setRegion(identity.region())
                .setProtocolVersion(PROTOCOL_VERSION)
                .build();
    }

    long configurationVersion() {
        return configurationVersion.getAsLong();
    }

    void dispatch(NettyPeerChannel from, Frame frame) {
        observer.accept(from, frame);
        if (frame.getReply()) {
            from.completeRequest(frame);
            return;
        }
        FrameHandler handler = handlers.get(frame.getBodyCase());
        if (handler == null) {
            logger.atWarning()
                    .with(LogKeys.PEER, from.hello().getVmName())
                    .log(
                            "no handler for frame %s from %s, protocol version %d, unknown fields %s, reply awaited %s",
                            frame.getBodyCase(),
                            from.hello().getRole(),
                            from.hello().getProtocolVersion(),
                            frame.getUnknownFields().asMap().keySet(),
                            frame.getCorrelationId() != 0);
            return;
        }
        handler.handle(from, frame);
    }

    // Internals

    /** Returns the connection to a peer, which is opened if there is none. */
    private OutgoingConnection outgoing(String peerAddress) {
        OutgoingConnection known = outgoing.get(peerAddress);
        if (known != null) {
            return known;
        }
        OutgoingConnection created = new OutgoingConnection();
        OutgoingConnection earlier = outgoing.putIfAbsent(peerAddress, created);
        if (earlier != null) {
            return earlier;
        }
        open(peerAddress).whenComplete((channel, failure) -> {
            if (channel == null) {
                outgoing.remove(peerAddress, created);
                created.onOpened(null, Failures.unwrap(failure));
            } else {
                channel.onClose(() -> outgoing.remove(peerAddress, created));
                created.onOpened(channel, null);
            }
        });
        return created;
    }

    private CompletableFuture<NettyPeerChannel> open(String peerAddress) {
        CompletableFuture<NettyPeerChannel> opened = new CompletableFuture<>();
        InetSocketAddress address = IpAddresses.parse(peerAddress).orElse(null);
        if (address == null) {
            return CompletableFuture.failedFuture(
                    new PeerException(ResultCode.PEER_UNREACHABLE, "not an IP address and port", peerAddress));
        }
        NettyPeerChannel channel = new NettyPeerChannel(this, peerAddress);
        new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(initializer(() -> channel))
                .connect(address)
                .addListener((io.netty.channel.ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        channel.awaitHello(HELLO_TIMEOUT).whenComplete((ok, failure) -> {
                            if (failure != null) {
                                f.channel().close();
                                opened.completeExceptionally(failure);
                            } else {
                                opened.complete(channel);
                            }
                        });
                    } else {
                        opened.completeExceptionally(
                                new PeerException(ResultCode.PEER_UNREACHABLE, String.valueOf(f.cause()), peerAddress));
                    }
                });
        return opened;
    }

    private ChannelInitializer<SocketChannel> initializer(Supplier<NettyPeerChannel> peerChannel) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                if (!keepAlive.isZero()) {
                    channel.pipeline().addLast(idleHandler());
                }
                channel.pipeline()
                        .addLast(traffic)
                        .addLast(new BoundedFrameDecoder())
                        .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
                        .addLast(new ProtobufVarint32LengthFieldPrepender())
                        .addLast(new ProtobufEncoder())
                        .addLast(peerChannel.get());
                accepted.put(channel, true);
                channel.closeFuture().addListener(f -> accepted.remove(channel));
            }
        };
    }

    private IdleStateHandler idleHandler() {
        long millis = keepAlive.toMillis();
        return new IdleStateHandler(SILENT_INTERVALS * millis, millis, 0, TimeUnit.MILLISECONDS);
    }

    /** Refuses frames above the size limit before they are collected. Created for each connection. */
    private static final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {
        private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

        @Override
        protected void decode(
                io.netty.channel.ChannelHandlerContext context, io.netty.buffer.ByteBuf in, java.util.List<Object> out)
                throws Exception {
            if (in.readableBytes() > MAX_FRAME_BYTES) {
                in.skipBytes(in.readableBytes());
                throw new io.netty.handler.codec.TooLongFrameException("frame above " + MAX_FRAME_BYTES + " bytes");
            }
            super.decode(context, in, out);
        }
    }
}
