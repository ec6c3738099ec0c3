package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.RequestKind;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * What an upstream's answer does that waits unread in the socket while the event loop is held up in a pass over the
 * sockets, as by the reader of a large configuration.
 */
public class StalledLoopTest extends ForwardingFixture {
    private static final long ANSWER_LIMIT_SECONDS = 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final long AFTER_TIMEOUT_MILLIS = 3_300;

    private final CountDownLatch heldUp = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    /** Guards against a deadline that goes before a whole answer which arrived long before it. */
    @Test(timeOut = 60_000)
    public void deadlineDoesNotGoBeforeAWaitingAnswer() throws Exception {
        configure(RequestKind.ONCE, false, 1, TIMEOUT);
        Channel holder = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Holding());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        CountDownLatch written = new CountDownLatch(1);
        try (ScriptedUpstream one = new ScriptedUpstream((request, connection) -> {
                    SilentUpstreamTest.await(heldUp);
                    ScriptedUpstream.write(connection, okAnswer("done"));
                    written.countDown();
                    return true;
                });
                Socket trigger = new Socket(
                        InetAddress.getLoopbackAddress(), ((InetSocketAddress) holder.localAddress()).getPort())) {
            addUpstream("a", one.address());
            RecordingCaller caller = send("/p/x", "key");
            long sentNanos = System.nanoTime();
            one.takeRequest();
            trigger.getOutputStream().write(1);
            assertTrue(written.await(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS));
            long answeredMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            assertTrue(answeredMillis < TIMEOUT.toMillis() / 2, "the machine is too busy: " + answeredMillis);
            TimeUnit.MILLISECONDS.sleep(AFTER_TIMEOUT_MILLIS - answeredMillis);
            released.countDown();
            assertEquals(
                    caller.answer.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS),
                    "200 done",
                    "answer that was in the socket " + answeredMillis + " ms after its request");
        } finally {
            released.countDown();
            holder.close();
        }
    }

    /** Holds the event loop up while it reads. */
    private final class Holding extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
            heldUp.countDown();
            SilentUpstreamTest.await(released);
        }
    }
}
