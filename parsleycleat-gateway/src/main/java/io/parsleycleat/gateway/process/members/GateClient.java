package io.parsleycleat.gateway.process.members;

import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.gateway.request.limits.RequestLimit;
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
import org.jspecify.annotations.Nullable;

/**
 * Sends start requests and the progress of runs to the sides of model engines.
 *
 * <p>One per entry; safe to share between threads.
 */
public final class GateClient {
    private final PeerClient peers;
    private final int sidePort;
    private final AtomicLong lastTicket = new AtomicLong();

    /**
     * Creates a client.
     *
     * @param sidePort the port on which the sides listen; each side runs on the VM of its engine
     */
    public GateClient(PeerClient peers, int sidePort) {
        this.peers = peers;
        this.sidePort = sidePort;
    }

    /** Returns a new number that identifies one start request of this entry. */
    public long newTicket() {
        return lastTicket.incrementAndGet();
    }

    /**
     * Requests the start of a run. The future fails with a {@code PeerException} if the side refuses or does not answer
     * in time.
     */
    public CompletableFuture<StartGrant> requestStart(Upstream engine, StartRequest request, Duration timeout) {
        GateMessage message = GateMessage.newBuilder().setStart(request).build();
        return peers.request(sideAddress(engine), Frame.newBuilder().setGate(message), timeout)
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(frame -> frame.getGate().getGrant());
    }

    /** Sends the progress of a run to the side of its engine, without waiting for an answer. */
    public void sendProgress(Upstream engine, long ticket, RunProgress.Stage stage) {
        sendProgress(engine, RunProgress.newBuilder().setTicket(ticket).setStage(stage));
    }

    /**
     * Tells the side of an engine which request limit the head of an answer names.
     *
     * @param named null if it names none
     */
    public void sendAnswered(Upstream engine, long ticket, @Nullable RequestLimit named) {
        RunProgress.Builder progress =
                RunProgress.newBuilder().setTicket(ticket).setStage(RunProgress.Stage.ANSWERED);
        if (named != null) {
            progress.setNamedLimit(named.requestsPerSecond());
        }
        sendProgress(engine, progress);
    }

    private void sendProgress(Upstream engine, RunProgress.Builder progress) {
        peers.send(
                sideAddress(engine),
                Frame.newBuilder()
                        .setGate(GateMessage.newBuilder().setProgress(progress).build()));
    }

    private String sideAddress(Upstream engine) {
        return IpAddresses.format(new InetSocketAddress(engine.address().getAddress(), sidePort));
    }
}
