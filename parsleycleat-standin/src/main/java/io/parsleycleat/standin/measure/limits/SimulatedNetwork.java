package io.parsleycleat.standin.measure.limits;

import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.peer.Hello;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;

/**
 * Carries frames between simulated processes, with latency by place and with faults.
 *
 * <p>Created for each simulation and used by one thread.
 */
public final class SimulatedNetwork {
    private static final Duration SAME_PLACE = Duration.ofNanos(100_000);
    private static final Duration SAME_REGION = Duration.ofNanos(500_000);
    private static final Duration OTHER_REGION = Duration.ofMillis(8);

    private final SimulatedTime time;
    private final Random random;
    private final Map<String, SimulatedProcess> processes = new HashMap<>();
    private final Map<String, Long> grants = new HashMap<>();
    private NetworkFaults faults = NetworkFaults.NONE;
    private BiPredicate<SimulatedProcess, SimulatedProcess> cut = (a, b) -> false;
    private long messages;
    private long decidedNanos = -1;
    private long correlations;

    SimulatedNetwork(SimulatedTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    // Faults and measures

    void setFaults(NetworkFaults newFaults) {
        faults = newFaults;
    }

    void setCut(BiPredicate<SimulatedProcess, SimulatedProcess> newCut) {
        cut = newCut;
    }

    long messages() {
        return messages;
    }

    /** Returns when the home decided on the debit whose answer is being taken in; now, when there is none. */
    long decidedNanos() {
        return decidedNanos < 0 ? time.monotonicNanos() : decidedNanos;
    }

    // Connections

    void add(SimulatedProcess process) {
        processes.put(process.identity().peerAddress(), process);
    }

    PeerClient clientOf(SimulatedProcess process) {
        return new Client(process);
    }

    /** Lets an action happen at another process, after the latency between the two. */
    void travel(SimulatedProcess from, SimulatedProcess to, Runnable action) {
        messages++;
        time.after(delay(from, to), () -> to.run(action));
    }

    private void carry(SimulatedProcess from, String address, java.util.function.Consumer<SimulatedProcess> arrival) {
        messages++;
        SimulatedProcess to = processes.get(address);
        if (to == null || cut.test(from, to) || random.nextDouble() < faults.loss()) {
            return;
        }
        int copies = random.nextDouble() < faults.duplication() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            time.after(delay(from, to), () -> to.run(() -> arrival.accept(to)));
        }
    }

    private Duration delay(SimulatedProcess from, SimulatedProcess to) {
        Duration base = OTHER_REGION;
        if (from.identity().dataCentre().equals(to.identity().dataCentre())) {
            base = SAME_PLACE;
        } else if (from.identity().region().equals(to.identity().region())) {
            base = SAME_REGION;
        }
        double extra = random.nextDouble() < faults.delayed() ? random.nextDouble() : 0;
        double nanos = base.toNanos() * (1 + random.nextDouble() / 2)
                + faults.largestDelay().toNanos() * extra;
        return Duration.ofNanos((long) nanos);
    }

    /** The connections that one process opens. */
    private final class Client implements PeerClient {
        private final SimulatedProcess self;
        private final Map<Long, CompletableFuture<Frame>> requests = new HashMap<>();

        Client(SimulatedProcess self) {
            this.self = self;
        }

        @Override
        public CompletableFuture<Frame> request(String peerAddress, Frame.Builder frame, Duration timeout) {
            correlations++;
            long id = correlations;
            CompletableFuture<Frame> reply = new CompletableFuture<>();
            requests.put(id, reply);
            Frame sent = frame.setCorrelationId(id).build();
            carry(self, peerAddress, to -> receive(to, sent));
            time.after(timeout, () -> self.run(() -> expire(id, peerAddress)));
            return reply;
        }

        @Override
        public void send(String peerAddress, Frame.Builder frame) {
            Frame sent = frame.build();
            carry(self, peerAddress, to -> receive(to, sent));
        }

        @Override
        public CompletableFuture<PeerChannel> connect(String peerAddress) {
            return CompletableFuture.failedFuture(new UnsupportedOperationException("frames only"));
        }

        private void receive(SimulatedProcess to, Frame frame) {
            to.handler(frame.getBodyCase()).ifPresent(h -> h.handle(new Channel(self, to, this), frame));
        }

        private void expire(long id, String peerAddress) {
            CompletableFuture<Frame> reply = requests.remove(id);
            if (reply != null) {
                reply.completeExceptionally(new PeerException(ResultCode.PEER_TIMEOUT, "no reply", peerAddress));
            }
        }

        private void complete(Frame frame) {
            CompletableFuture<Frame> reply = requests.remove(frame.getCorrelationId());
            if (reply != null) {
                boolean granted = frame.getEscrow().getDebitAnswer().getGranted();
                decidedNanos = granted ? grants.getOrDefault(key(frame), -1L) : -1;
                reply.complete(frame);
                decidedNanos = -1;
            }
        }

        private String key(Frame frame) {
            return self.identity().vmName() + '/' + frame.getCorrelationId();
        }
    }

    /** A connection as the process that accepted it sees it. */
    private final class Channel implements PeerChannel {
        private final SimulatedProcess asker;
        private final SimulatedProcess self;
        private final Client client;

        Channel(SimulatedProcess asker, SimulatedProcess self, Client client) {
            this.asker = asker;
            this.self = self;
            this.client = client;
        }

        @Override
        public Hello hello() {
            return Hello.newBuilder()
                    .setVmName(asker.identity().vmName())
                    .setIncarnation(asker.identity().incarnation())
                    .build();
        }

        @Override
        public void send(Frame frame) {
            if (frame.getEscrow().getDebitAnswer().getGranted()) {
                grants.putIfAbsent(client.key(frame), time.monotonicNanos());
            }
            carry(self, asker.identity().peerAddress(), unused -> asker.run(() -> client.complete(frame)));
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void onClose(Runnable action) {
            // Connections of the simulation are never closed.
        }
    }
}
