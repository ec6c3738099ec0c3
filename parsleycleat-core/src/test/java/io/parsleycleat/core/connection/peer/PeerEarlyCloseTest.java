package io.parsleycleat.core.connection.peer;

import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.connection.LateCallerLoops;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.wire.peer.Frame;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a peer that stays unreachable for good because its new connection was closed before the caller's
 * thread went on: the request must fail, and the next one must open a connection of its own.
 */
public class PeerEarlyCloseTest {
    private LateCallerLoops loops;
    private NettyPeerTransport transport;

    @BeforeMethod
    public void open() {
        loops = new LateCallerLoops();
        ProcessIdentity identity = new ProcessIdentity("a", ProcessRole.ENTRY, "dc-1", "r-1", "127.0.0.1:0", 1);
        transport = new NettyPeerTransport(identity, loops, () -> 0, (from, frame) -> {});
    }

    @AfterMethod
    public void close() {
        transport.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static CompletableFuture<Void> closeNextConnection(ServerSocket server) {
        return CompletableFuture.runAsync(() -> {
            try {
                server.accept().close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private CompletableFuture<Frame> requestClosedEarly(ServerSocket server) throws Exception {
        CompletableFuture<Void> served = closeNextConnection(server);
        CompletableFuture<Frame> reply =
                transport.request("127.0.0.1:" + server.getLocalPort(), Frame.newBuilder(), Duration.ofMinutes(10));
        served.get(20, TimeUnit.SECONDS);
        loops.drain();
        return reply;
    }

    @Test(timeOut = 60_000)
    public void closeBeforeTheCallerGoesOnFailsTheRequest() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Frame> first = requestClosedEarly(server);
            assertTrue(first.isCompletedExceptionally(), "the connection is closed and the request goes on");
            CompletableFuture<Frame> second = requestClosedEarly(server);
            assertTrue(second.isCompletedExceptionally(), "the second request waits for the first connection");
        }
    }
}
