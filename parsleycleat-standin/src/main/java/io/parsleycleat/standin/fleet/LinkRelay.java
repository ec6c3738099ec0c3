package io.parsleycleat.standin.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Relays TCP connections to one address, and can cut them, or hold what one direction or both carry.
 *
 * <p>Created by {@link Fleet} or by tests; safe to share between threads. What is held is delivered, in order, when the
 * link heals.
 */
public final class LinkRelay implements AutoCloseable {
    private final EventLoopGroup loops;
    private final InetSocketAddress target;
    private final Channel listening;
    private final Set<Channel> accepted = ConcurrentHashMap.newKeySet();
    private final Set<Channel> connected = ConcurrentHashMap.newKeySet();
    private final AtomicLong bytes = new AtomicLong();
    /** How often the link was cut. A connection that was accepted before the newest cut carries nothing more. */
    private final AtomicInteger cuts = new AtomicInteger();

    private volatile boolean cut;
    private volatile boolean holdingForward;
    private volatile boolean holdingBackward;

    /** Starts to relay from a listening address, whose port may be 0. */
    public LinkRelay(InetSocketAddress address, InetSocketAddress target) {
        this(address, target, new NioEventLoopGroup(1, new DefaultThreadFactory("relay", true)));
    }

    /** Starts to relay on event loops that the relay ends when it is closed. */
    LinkRelay(InetSocketAddress address, InetSocketAddress target, EventLoopGroup loops) {
        this.loops = loops;
        this.target = target;
        this.listening = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the address that the relay listens at. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Returns how many bytes both directions have carried. */
    public long bytes() {
        return bytes.get();
    }

    /**
     * Closes all connections and every new one until the link heals. Nothing that arrives from now on passes, even if
     * the event loop reads it before it closes its connection.
     */
    public void cut() {
        cut = true;
        cuts.incrementAndGet();
        accepted.forEach(Channel::close);
    }

    /** Holds what the caller of the link sends. Connections stay open. */
    public void holdForward() {
        holdingForward = true;
        accepted.forEach(c -> c.config().setAutoRead(false));
    }

    /** Holds what the target of the link sends. Connections stay open. */
    public void holdBackward() {
        holdingBackward = true;
        connected.forEach(c -> c.config().setAutoRead(false));
    }

    /** Holds both directions. */
    public void hold() {
        holdForward();
        holdBackward();
    }

    /** Lets everything pass again. */
    public void heal() {
        cut = false;
        holdingForward = false;
        holdingBackward = false;
        accepted.forEach(c -> c.config().setAutoRead(true));
        connected.forEach(c -> c.config().setAutoRead(true));
    }

    @Override
    public void close() {
        listening.close().syncUninterruptibly();
        accepted.forEach(Channel::close);
        connected.forEach(Channel::close);
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void accept(SocketChannel caller) {
        int cutsBefore = cuts.get();
        if (cut) {
            caller.close();
            return;
        }
        Bootstrap outgoing = new Bootstrap()
                .group(caller.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Forwarder(caller, cutsBefore));
        outgoing.connect(target).addListener((ChannelFuture connecting) -> {
            Channel server = connecting.channel();
            if (!connecting.isSuccess() || !caller.isActive()) {
                server.close();
                caller.close();
                return;
            }
            caller.pipeline().addLast(new Forwarder(server, cutsBefore));
            track(accepted, caller);
            track(connected, server);
            if (cuts.get() != cutsBefore) {
                caller.close();
                return;
            }
            caller.config().setAutoRead(!holdingForward);
            server.config().setAutoRead(!holdingBackward);
        });
    }

    private static void track(Set<Channel> set, Channel channel) {
        set.add(channel);
        channel.closeFuture().addListener(f -> set.remove(channel));
    }

    /** Passes on what one end sends. Created for each end; used by its event loop. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final int cutsBefore;

        Forwarder(Channel other, int cutsBefore) {
            this.other = other;
            this.cutsBefore = cutsBefore;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (cuts.get() != cutsBefore) {
                ReferenceCountUtil.release(message);
                context.close();
                return;
            }
            if (message instanceof ByteBuf buffer) {
                bytes.addAndGet(buffer.readableBytes());
            }
            if (other.isActive()) {
                other.writeAndFlush(message);
            } else {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            other.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
