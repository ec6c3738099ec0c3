package io.parsleycleat.gateway.process.members;

import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.RunProgress;
import io.parsleycleat.wire.gate.StartGrant;
import io.parsleycleat.wire.gate.StartRequest;
import io.parsleycleat.wire.peer.Frame;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Asks the sides beside engines for starts and tells them how runs go on.
 *
 * <p>One an entry; safe to share between threads.
 */
public final class GateClient {
    private final PeerClient peers;
    private final int sidePort;
    private final AtomicLong lastTicket = new AtomicLong();

    /**
     * Creates a client.
     *
     * @param sidePort the port on which the sides listen, on the VMs of their engines
     */
    public GateClient(PeerClient peers, int sidePort) {
        this.peers = peers;
        this.sidePort = sidePort;
    }

    /** Returns a number for the next start. */
    public long newTicket() {
        return lastTicket.incrementAndGet();
    }

    /** Asks for a start; fails with a {@code PeerException} when the side refuses or does not answer in time. */
    public CompletableFuture<StartGrant> requestStart(Upstream engine, StartRequest request, Duration timeout) {
        GateMessage message = GateMessage.newBuilder().setStart(request).build();
        return peers.request(sideAddress(engine), Frame.newBuilder().setGate(message), timeout)
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(frame -> frame.getGate().getGrant());
    }

    /** Tells how a run goes on. */
    public void sendProgress(Upstream engine, long ticket, RunProgress.Stage stage) {
        RunProgress progress =
                RunProgress.newBuilder().setTicket(ticket).setStage(stage).build();
        peers.send(
                sideAddress(engine),
                Frame.newBuilder()
                        .setGate(GateMessage.newBuilder().setProgress(progress).build()));
    }

    private String sideAddress(Upstream engine) {
        return IpAddresses.format(new InetSocketAddress(engine.address().getAddress(), sidePort));
    }
}
