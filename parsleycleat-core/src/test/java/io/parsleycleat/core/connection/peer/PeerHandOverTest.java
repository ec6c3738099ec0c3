package io.parsleycleat.core.connection.peer;

import static org.testng.Assert.expectThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.peer.Frame;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.testng.annotations.Test;

/** Guards against a request between processes that nobody ends after it could not be handed to its connection. */
public class PeerHandOverTest {
    private final EventLoopGroup loops = new NioEventLoopGroup(1);

    private NettyPeerTransport transport(String vmName, LongSupplier configurationVersion) {
        ProcessIdentity identity = new ProcessIdentity(vmName, ProcessRole.ENTRY, "dc-1", "r-1", "127.0.0.1:0", 1);
        return new NettyPeerTransport(identity, loops, configurationVersion, (from, frame) -> {});
    }

    @Test(timeOut = 60_000)
    public void requestThatCannotBeHandedOverFails() {
        AtomicInteger sends = new AtomicInteger();
        try (NettyPeerTransport listening = transport("a", () -> 0);
                NettyPeerTransport connecting = transport("b", () -> {
                    // The first frame is the greeting.
                    if (sends.incrementAndGet() > 1) {
                        throw new IllegalStateException("a fault of the test");
                    }
                    return 0;
                })) {
            InetSocketAddress bound = listening.listen(new InetSocketAddress("127.0.0.1", 0));
            CompletableFuture<Frame> reply = connecting.request(
                    "127.0.0.1:" + bound.getPort(),
                    Frame.newBuilder().setGate(GateMessage.getDefaultInstance()),
                    Duration.ofSeconds(1));
            CompletionException failure = expectThrows(
                    CompletionException.class,
                    () -> reply.copy().orTimeout(10, TimeUnit.SECONDS).join());
            if (failure.getCause() instanceof java.util.concurrent.TimeoutException) {
                throw new AssertionError("the request has not ended 9 s after its timeout", failure);
            }
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
