package io.parsleycleat.core.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import java.util.concurrent.TimeUnit;

/**
 * One event loop on which a caller's thread continues only after its new connection was closed and has told its
 * handlers so, as it does when the system runs other threads first.
 */
public final class LateCallerLoops extends NioEventLoopGroup {
    private static final int DRAIN_TIMEOUT_SECONDS = 20;

    public LateCallerLoops() {
        super(1);
    }

    @Override
    public ChannelFuture register(Channel channel) {
        EventLoop loop = next();
        return loop.register(new DefaultChannelPromise(channel, loop) {
            private volatile boolean listening;

            @Override
            public boolean isDone() {
                return (listening || loop.inEventLoop()) && super.isDone();
            }

            @Override
            public DefaultChannelPromise addListener(GenericFutureListener<? extends Future<? super Void>> listener) {
                listening = true;
                super.addListener(listener);
                if (!loop.inEventLoop()) {
                    channel.closeFuture().awaitUninterruptibly();
                    while (channel.isRegistered()) {
                        loop.submit(() -> {}).awaitUninterruptibly();
                    }
                }
                return this;
            }
        });
    }

    /** Returns once all that was waiting on the loop has run, and what that has added. */
    public void drain() throws Exception {
        next().submit(() -> {}).get(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        next().submit(() -> {}).get(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
