package io.parsleycleat.core.connection.peer;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.RunProgress;
import io.parsleycleat.wire.peer.Frame;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards the order of frames that are handed over while their connection is being opened: the answer to a question that
 * arrives after its withdrawal has no owner.
 */
public class FrameOrderTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int FRAMES = 100;

    private EventLoopGroup listeningLoops;
    private EventLoopGroup connectingLoops;
    private NettyPeerTransport listening;
    private NettyPeerTransport connecting;
    private String address;
    private BlockingQueue<Long> arrived;
    private CountDownLatch loopGoesOn;

    @BeforeMethod
    public void open() {
        listeningLoops = new NioEventLoopGroup(1);
        connectingLoops = new NioEventLoopGroup(1);
        arrived = new LinkedBlockingQueue<>();
        listening = transport("a", listeningLoops);
        connecting = transport("b", connectingLoops);
        listening.register(Frame.BodyCase.GATE, (from, frame) -> {
            arrived.add(frame.getGate().getProgress().getTicket());
            if (frame.getCorrelationId() != 0) {
                from.reply(frame, Frame.newBuilder().setGate(GateMessage.getDefaultInstance()));
            }
        });
        InetSocketAddress bound = listening.listen(new InetSocketAddress("127.0.0.1", 0));
        address = "127.0.0.1:" + bound.getPort();
        loopGoesOn = new CountDownLatch(1);
        connectingLoops.execute(() -> {
            try {
                loopGoesOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        loopGoesOn.countDown();
        connecting.close();
        listening.close();
        connectingLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        listeningLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static NettyPeerTransport transport(String vmName, EventLoopGroup loops) {
        ProcessIdentity identity = new ProcessIdentity(vmName, ProcessRole.ENTRY, "dc-1", "r-1", "127.0.0.1:0", 1);
        return new NettyPeerTransport(identity, loops, () -> 0, (from, frame) -> {});
    }

    private static Frame.Builder progress(long ticket) {
        return Frame.newBuilder()
                .setGate(GateMessage.newBuilder()
                        .setProgress(RunProgress.newBuilder().setTicket(ticket)));
    }

    private List<Long> takeArrived(int count) {
        return LongStream.range(0, count)
                .mapToObj(i -> {
                    try {
                        return arrived.take();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                })
                .toList();
    }

    // Guards against a withdrawal that overtakes the question that it withdraws.
    @Test(timeOut = 60_000)
    public void framesOfAConnectionThatIsBeingOpenedArriveInTheirOrder() {
        LongStream.range(0, FRAMES).forEach(n -> {
            if (n % 2 == 0) {
                connecting.request(address, progress(n), TIMEOUT);
            } else {
                connecting.send(address, progress(n));
            }
        });
        loopGoesOn.countDown();
        assertEquals(takeArrived(FRAMES), LongStream.range(0, FRAMES).boxed().toList());
    }

    // Guards against a question that is sent, and answered, after its asker has given up.
    @Test(timeOut = 60_000)
    public void requestThatWasGivenUpBeforeItsConnectionWasOpenIsNotSent() {
        CompletableFuture<Frame> givenUp = connecting.request(address, progress(1), TIMEOUT);
        givenUp.cancel(false);
        connecting.request(address, progress(2), TIMEOUT);
        loopGoesOn.countDown();
        connecting.request(address, progress(3), TIMEOUT).join();
        assertEquals(takeArrived(arrived.size()), List.of(2L, 3L));
    }
}
