package io.parsleycleat.gateway.connection.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.parsleycleat.core.process.time.TimeSource;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.IntSupplier;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * The connections to one upstream. The one that was used last is used next, so that the others can lapse.
 *
 * <p>Created for each upstream; its state is used on one event loop, to which calls from other threads are passed.
 */
public final class UpstreamConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;
    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;
    private static final long MAX_IDLE_MILLIS = 10_000;

    private final InetSocketAddress address;
    private final EventLoop loop;
    private final TimeSource time;
    private final IntSupplier maxConnections;
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    private final Set<Sending> connecting = new HashSet<>();
    private int open;
    private boolean closed;

    /**
     * Creates a pool without connections.
     *
     * @param maxConnections how many may be open, as of now
     */
    public UpstreamConnectionPool(
            InetSocketAddress address, EventLoop loop, TimeSource time, IntSupplier maxConnections) {
        this.address = address;
        this.loop = loop;
        this.time = time;
        this.maxConnections = maxConnections;
    }

    /** A request under way. */
    public interface InFlightRequest {
        /** Gives the request up; the listener hears nothing more. */
        void cancel();

        /** Lets the upstream wait or go on. */
        void setReading(boolean reading);
    }

    /** Sends a request on an idle connection, or on a new one. */
    public InFlightRequest send(UpstreamRequest request, ResponseListener listener) {
        Sending sending = new Sending(request, listener);
        if (loop.inEventLoop()) {
            start(sending);
        } else {
            loop.execute(() -> start(sending));
        }
        return sending;
    }

    /** Closes idle connections and those that become idle. */
    public void close() {
        loop.execute(() -> {
            closed = true;
            idle.forEach(UpstreamConnection::close);
            idle.clear();
        });
    }

    // Internals, on the event loop

    private void start(Sending sending) {
        if (sending.cancelled) {
            return;
        }
        UpstreamConnection connection = takeIdle();
        if (connection != null) {
            sending.connected(connection);
        } else if (closed) {
            sending.listener.onFailure(SendFailure.notSent("the upstream is gone"));
        } else if (open >= maxConnections.getAsInt()) {
            sending.listener.onFailure(SendFailure.notSent("all connections to the upstream are busy"));
        } else {
            connect(sending);
        }
    }

    private @Nullable UpstreamConnection takeIdle() {
        while (!idle.isEmpty()) {
            UpstreamConnection connection = idle.removeLast();
            if (connection.isUsable(time.monotonicNanos(), MAX_IDLE_MILLIS)) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void connect(Sending sending) {
        open++;
        connecting.add(sending);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ConnectionInitializer())
                .connect(address)
                .addListener((io.netty.channel.ChannelFuture f) -> {
                    connecting.remove(sending);
                    if (f.isSuccess()) {
                        connected(f.channel(), sending);
                    } else {
                        open--;
                        if (!sending.cancelled) {
                            sending.listener.onFailure(SendFailure.notSent(String.valueOf(f.cause())));
                        }
                    }
                });
    }

    private void connected(Channel channel, Sending sending) {
        UpstreamConnection connection = channel.pipeline().get(UpstreamConnection.class);
        if (sending.cancelled) {
            free(connection, true);
        } else {
            sending.connected(connection);
        }
    }

    private void free(UpstreamConnection connection, boolean usable) {
        if (usable && !closed) {
            connection.idleSince(time.monotonicNanos());
            idle.addLast(connection);
            return;
        }
        idle.remove(connection);
        connection.close();
    }

    /** Sets up the pipeline of each connection. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            AnswerDecoder decoder = new AnswerDecoder();
            IdleBytesGuard guard = new IdleBytesGuard();
            UpstreamConnection connection = new UpstreamConnection(channel, decoder, UpstreamConnectionPool.this::free);
            guard.guard(connection);
            channel.pipeline().addLast(new OpenCounter(), guard, decoder, new HttpRequestEncoder(), connection);
        }
    }

    /** Counts the connection out when it closes. Created for each connection. */
    private final class OpenCounter extends io.netty.channel.ChannelInboundHandlerAdapter {
        @Override
        public void channelInactive(io.netty.channel.ChannelHandlerContext context) {
            open--;
            context.fireChannelInactive();
        }
    }

    /** One request on its way. Used on the event loop, but for the calls that are passed there. */
    private final class Sending implements InFlightRequest {
        private final UpstreamRequest request;
        private final ResponseListener listener;
        private @Nullable UpstreamConnection connection;
        private boolean cancelled;

        Sending(UpstreamRequest request, ResponseListener listener) {
            this.request = request;
            this.listener = listener;
        }

        void connected(UpstreamConnection newConnection) {
            connection = newConnection;
            newConnection.send(request, new Ending(this));
        }

        @Override
        public void cancel() {
            onLoop(() -> {
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
            onLoop(() -> {
                UpstreamConnection current = connection;
                if (current != null) {
                    current.setReading(reading);
                }
            });
        }

        private void onLoop(Runnable action) {
            if (loop.inEventLoop()) {
                action.run();
            } else {
                loop.execute(action);
            }
        }
    }

    /** Forgets the connection at the answer's end, so that a late call does not touch the next request on it. */
    private record Ending(Sending sending) implements ResponseListener {
        @Override
        public void onHead(ResponseHead head) {
            sending.listener.onHead(head);
        }

        @Override
        public void onBody(com.google.protobuf.ByteString part) {
            sending.listener.onBody(part);
        }

        @Override
        public void onEnd() {
            UpstreamConnection current = sending.connection;
            if (current != null) {
                current.setReading(true);
            }
            sending.connection = null;
            sending.listener.onEnd();
        }

        @Override
        public void onFailure(SendFailure failure) {
            sending.connection = null;
            sending.listener.onFailure(failure);
        }
    }
}
