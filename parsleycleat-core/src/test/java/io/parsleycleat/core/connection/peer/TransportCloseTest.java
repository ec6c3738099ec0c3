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
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The end of a process as its peers see it: all frames that were handed over, and nothing else. */
public class TransportCloseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int FRAMES = 500;

    private EventLoopGroup loops;
    private NettyPeerTransport listening;
    private NettyPeerTransport connecting;
    private String address;
    private final List<Frame> toListening = Collections.synchronizedList(new ArrayList<>());
    private final List<Frame> toConnecting = Collections.synchronizedList(new ArrayList<>());
    private CompletableFuture<PeerChannel> accepted;

    @BeforeMethod
    public void open() {
        loops = new NioEventLoopGroup(2);
        toListening.clear();
        toConnecting.clear();
        accepted = new CompletableFuture<>();
        listening = transport("a", toListening);
        connecting = transport("b", toConnecting);
        listening.register(Frame.BodyCase.GATE, (from, frame) -> {
            accepted.complete(from);
            if (frame.getCorrelationId() != 0) {
                from.reply(frame, Frame.newBuilder().setGate(GateMessage.getDefaultInstance()));
            }
        });
        connecting.register(Frame.BodyCase.GATE, (from, frame) -> {});
        InetSocketAddress bound = listening.listen(new InetSocketAddress("127.0.0.1", 0));
        address = "127.0.0.1:" + bound.getPort();
    }

    @AfterMethod
    public void close() {
        connecting.close();
        listening.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private NettyPeerTransport transport(String vmName, List<Frame> arrived) {
        ProcessIdentity identity = new ProcessIdentity(vmName, ProcessRole.ENTRY, "dc-1", "r-1", "127.0.0.1:0", 1);
        return new NettyPeerTransport(identity, loops, () -> 7, (from, frame) -> arrived.add(frame));
    }

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {{"the side that accepted the connection"}, {"the side that opened it"}};
    }

    /** Sends frames in one direction, ends the sender, and returns once its peer has seen the end. */
    private List<Frame> framesOfClosing(boolean acceptor) throws Exception {
        PeerChannel opened = connecting.connect(address).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        connecting.request(address, progress(0), TIMEOUT).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        PeerChannel other = accepted.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        toListening.clear();
        toConnecting.clear();
        PeerChannel sender = acceptor ? other : opened;
        CompletableFuture<Void> ended = new CompletableFuture<>();
        (acceptor ? opened : other).onClose(() -> ended.complete(null));
        LongStream.rangeClosed(1, FRAMES).forEach(n -> sender.send(progress(n).build()));
        (acceptor ? listening : connecting).close();
        ended.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        return List.copyOf(acceptor ? toConnecting : toListening);
    }

    private static Frame.Builder progress(long ticket) {
        RunProgress ended = RunProgress.newBuilder()
                .setTicket(ticket)
                .setStage(RunProgress.Stage.ENDED)
                .build();
        return Frame.newBuilder().setGate(GateMessage.newBuilder().setProgress(ended));
    }

    // Guards against a frame without a body on each connection of a process that stops, which its peers warn of.
    @Test(dataProvider = "ends", timeOut = 60_000)
    public void stopSendsWhatWasHandedOverAndNoFrameWithoutBody(String end) throws Exception {
        List<Frame> arrived = framesOfClosing(end.contains("accepted"));
        assertEquals(
                arrived.stream()
                        .map(Frame::getBodyCase)
                        .filter(c -> c != Frame.BodyCase.GATE)
                        .toList(),
                List.of(),
                "bodies beside those that were sent");
        assertEquals(
                arrived.stream().map(f -> f.getGate().getProgress().getTicket()).toList(),
                LongStream.rangeClosed(1, FRAMES).boxed().toList());
    }
}
