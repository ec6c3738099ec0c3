package io.parsleycleat.gateway.connection.upstream;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.parsleycleat.core.connection.http.MessageFraming;
import io.parsleycleat.core.connection.http.ResponseDecoder;
import io.parsleycleat.core.process.time.TimeSource;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * Pools the connections to one upstream. The most recently used one is reused first, so that surplus connections reach
 * their idle limit and are closed.
 *
 * <p>Created for each upstream; its state is confined to one event loop, to which calls from other threads are
 * passed.
 */
public final class UpstreamConnectionPool {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;
    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;
    private static final long MAX_IDLE_MILLIS = 10_000;
    /** Bounds what is decoded in one go, for which all other connections of the event loop wait. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;

    private final InetSocketAddress address;
    private final EventLoop eventLoop;
    private final ReadTurns turns;
    private final TimeSource time;
    private final IntSupplier maxConnections;
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();
    private int openConnections;
    private boolean closed;
    private boolean checking;

    /**
     * Creates a pool without connections, alone on its event loop.
     *
     * @param maxConnections returns how many connections may be open; read before each connect
     */
    public UpstreamConnectionPool(
            InetSocketAddress address, EventLoop eventLoop, TimeSource time, IntSupplier maxConnections) {
        this(address, eventLoop, new ReadTurns(eventLoop), time, maxConnections);
    }

    /**
     * Creates a pool without connections.
     *
     * @param turns of the event loop
     * @param maxConnections returns how many connections may be open; read before each connect
     */
    UpstreamConnectionPool(
            InetSocketAddress address,
            EventLoop eventLoop,
            ReadTurns turns,
            TimeSource time,
            IntSupplier maxConnections) {
        this.address = address;
        this.eventLoop = eventLoop;
        this.turns = turns;
        this.time = time;
        this.maxConnections = maxConnections;
    }

    /** Controls a request that was passed to the pool. */
    public interface InFlightRequest {
        /** Cancels the request; its listener is not called after the cancellation reached the event loop. */
        void cancel();

        /** Pauses or resumes reading of the response, which applies backpressure to the upstream. */
        void setReading(boolean reading);
    }

    /** Sends a request on an idle connection, or on a new one if none is usable. */
    public InFlightRequest send(UpstreamRequest request, ResponseListener listener) {
        PendingRequest pending = new PendingRequest(request, listener);
        if (eventLoop.inEventLoop()) {
            dispatch(pending);
        } else {
            eventLoop.execute(() -> dispatch(pending));
        }
        return pending;
    }

    /**
     * Opens a connection to find out whether a process still listens at the address; it is kept for later requests. A
     * check that is asked for during another one, or above the connection limit, is not made.
     *
     * @param onRefused called on the event loop if the connection is refused
     */
    public void checkListening(Runnable onRefused) {
        eventLoop.execute(() -> {
            if (checking || closed || openConnections >= maxConnections.getAsInt()) {
                return;
            }
            checking = true;
            connect(
                    channel -> {
                        checking = false;
                        release(channel.pipeline().get(UpstreamConnection.class), true);
                    },
                    failure -> {
                        checking = false;
                        if (failure.refused()) {
                            onRefused.run();
                        }
                    });
        });
    }

    /** Closes the idle connections, and the others when their responses end. */
    public void close() {
        eventLoop.execute(() -> {
            closed = true;
            idleConnections.forEach(UpstreamConnection::close);
            idleConnections.clear();
        });
    }

    // Internals, on the event loop

    private void dispatch(PendingRequest pending) {
        if (pending.cancelled) {
            return;
        }
        UpstreamConnection connection = takeIdle();
        if (connection != null) {
            sendOn(connection, pending);
        } else if (closed) {
            pending.listener.onFailure(SendFailure.notSent("the upstream has left or restarted"));
        } else if (openConnections >= maxConnections.getAsInt()) {
            pending.listener.onFailure(SendFailure.notSent("the connection limit of the upstream is reached"));
        } else {
            connect(pending);
        }
    }

    private @Nullable UpstreamConnection takeIdle() {
        while (!idleConnections.isEmpty()) {
            UpstreamConnection connection = idleConnections.removeLast();
            if (connection.isUsable(time.monotonicNanos(), MAX_IDLE_MILLIS)) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void connect(PendingRequest pending) {
        connect(channel -> onConnected(channel, pending), failure -> {
            if (!pending.cancelled) {
                pending.listener.onFailure(failure);
            }
        });
    }

    private void connect(Consumer<Channel> onConnected, Consumer<SendFailure> onFailed) {
        openConnections++;
        new Bootstrap()
                .group(eventLoop)
                .channelFactory(UpstreamChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES))
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ConnectionInitializer())
                .connect(address)
                .addListener((io.netty.channel.ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        onConnected.accept(f.channel());
                    } else {
                        openConnections--;
                        onFailed.accept(SendFailure.notConnected(f.cause()));
                    }
                });
    }

    private void onConnected(Channel channel, PendingRequest pending) {
        UpstreamConnection connection = channel.pipeline().get(UpstreamConnection.class);
        if (pending.cancelled) {
            release(connection, true);
        } else {
            sendOn(connection, pending);
        }
    }

    /** Sends a request. One that cannot be encoded was not sent; its connection is given up. */
    private static void sendOn(UpstreamConnection connection, PendingRequest pending) {
        try {
            pending.sendOn(connection);
        } catch (RuntimeException | Error e) {
            connection.cancel();
            logger.atSevere().withCause(e).log("a request cannot be encoded");
            pending.listener.onFailure(SendFailure.notSent("the request cannot be encoded: " + e));
        }
    }

    private void release(UpstreamConnection connection, boolean usable) {
        if (usable && !closed) {
            connection.markIdleSince(time.monotonicNanos());
            idleConnections.addLast(connection);
            return;
        }
        idleConnections.remove(connection);
        connection.close();
    }

    /** Sets up the channel pipeline of each connection. */
    private final class ConnectionInitializer extends ChannelInitializer<UpstreamChannel> {
        @Override
        protected void initChannel(UpstreamChannel channel) {
            ResponseDecoder decoder =
                    new ResponseDecoder(MessageFraming.newDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
            UpstreamConnection connection =
                    new UpstreamConnection(channel, decoder, turns, UpstreamConnectionPool.this::release);
            channel.pipeline().addLast(new OpenConnectionCounter(), decoder, new HttpRequestEncoder(), connection);
        }
    }

    /** Decrements the number of open connections when one closes. Created for each connection. */
    private final class OpenConnectionCounter extends io.netty.channel.ChannelInboundHandlerAdapter {
        @Override
        public void channelInactive(io.netty.channel.ChannelHandlerContext context) {
            openConnections--;
            context.fireChannelInactive();
        }
    }

    /** One request and its connection. Its state is confined to the event loop, to which public calls are passed. */
    private final class PendingRequest implements InFlightRequest {
        private final UpstreamRequest request;
        private final ResponseListener listener;
        private @Nullable UpstreamConnection connection;
        private boolean cancelled;

        PendingRequest(UpstreamRequest request, ResponseListener listener) {
            this.request = request;
            this.listener = listener;
        }

        void sendOn(UpstreamConnection newConnection) {
            connection = newConnection;
            newConnection.send(request, new DetachingListener(this));
        }

        @Override
        public void cancel() {
            runOnEventLoop(() -> {
                cancelled = true;
                UpstreamConnection current = connection;
                connection = null;
                if (current != null) {
                    current.cancel();
                }
            });
        }

        @Override
        public void setReading(boolean reading) {
            runOnEventLoop(() -> {
                UpstreamConnection current = connection;
                if (current != null) {
                    current.setReading(reading);
                }
            });
        }

        private void runOnEventLoop(Runnable action) {
            if (eventLoop.inEventLoop()) {
                action.run();
            } else {
                eventLoop.execute(action);
            }
        }
    }

    /** Detaches the request from its connection at the end, so that a late call cannot affect the next request. */
    private record DetachingListener(PendingRequest pending) implements ResponseListener {
        @Override
        public void onHead(ResponseHead head) {
            pending.listener.onHead(head);
        }

        @Override
        public void onBody(com.google.protobuf.ByteString part) {
            pending.listener.onBody(part);
        }

        @Override
        public void onEnd() {
            UpstreamConnection current = pending.connection;
            if (current != null) {
                current.setReading(true);
            }
            pending.connection = null;
            pending.listener.onEnd();
        }

        @Override
        public void onFailure(SendFailure failure) {
            pending.connection = null;
            pending.listener.onFailure(failure);
        }
    }
}
