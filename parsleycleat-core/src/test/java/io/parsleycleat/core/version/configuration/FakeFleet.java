package io.parsleycleat.core.version.configuration;

import io.parsleycleat.core.connection.peer.FrameHandler;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.keys.CutOffMonitor;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.peer.Hello;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** Stores on one fake log and one fake network, all in virtual time. */
final class FakeFleet {
    static final Duration BOUND = Duration.ofSeconds(15);
    private static final long LATENCY_MILLIS = 1;

    final VirtualScheduler time = new VirtualScheduler();
    final FakeLog log = new FakeLog(time);
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final Set<String> listed = new HashSet<>();
    private final Set<String> severed = new HashSet<>();
    private final StoreSettings settings;
    private boolean vmListOut;
    private String isolatedDataCentre = "";
    private long incarnations;
    long frames;

    FakeFleet(StoreSettings settings) {
        this.settings = settings;
    }

    /** One process. */
    record Node(Vm vm, ConfigurationStore store, CutOffMonitor monitor, AtomicReference<FrameHandler> handler) {}

    static FakeFleet of(StoreSettings settings, int dataCentres, int perDataCentre) {
        FakeFleet fleet = new FakeFleet(settings);
        for (int d = 0; d < dataCentres; d++) {
            for (int i = 0; i < perDataCentre; i++) {
                fleet.add("vm-" + d + "-" + i, "dc-" + d);
            }
        }
        return fleet;
    }

    Node add(String name, String dataCentre) {
        Vm vm = new Vm(name, ProcessRole.ENTRY, name, dataCentre, "region", "", false);
        ProcessIdentity identity =
                new ProcessIdentity(name, ProcessRole.ENTRY, dataCentre, "region", name, ++incarnations);
        listed.add(name);
        Membership membership = new Membership(this::list, time);
        CutOffMonitor monitor = new CutOffMonitor(time, membership, dataCentre, BOUND);
        StoreParts parts = new StoreParts(identity, log.client(name), client(vm), membership, monitor, time, time);
        Node node = new Node(vm, new ConfigurationStore(parts, settings), monitor, new AtomicReference<>());
        nodes.put(name, node);
        membership.start(time, Duration.ofSeconds(2));
        node.store().start((kind, handler) -> node.handler().set(handler));
        return node;
    }

    void remove(String name) {
        nodes.remove(name).store().close();
        listed.remove(name);
    }

    void sever(String name) {
        severed.add(name);
    }

    void heal(String name) {
        severed.remove(name);
    }

    /** Cuts a data centre off from the others. */
    void severDataCentre(String name) {
        isolatedDataCentre = name;
    }

    void setVmListOut(boolean isOut) {
        vmListOut = isOut;
    }

    Node node(String name) {
        return nodes.get(name);
    }

    Collection<Node> all() {
        return nodes.values();
    }

    boolean allReady() {
        return all().stream().allMatch(n -> n.store().isReady());
    }

    boolean allAt(long version) {
        return all().stream().allMatch(n -> n.store().version() >= version);
    }

    private CompletableFuture<List<Vm>> list() {
        if (vmListOut) {
            return CompletableFuture.failedFuture(new IllegalStateException("out"));
        }
        return CompletableFuture.completedFuture(nodes.values().stream()
                .map(Node::vm)
                .filter(vm -> listed.contains(vm.name()))
                .toList());
    }

    private PeerClient client(Vm self) {
        return new PeerClient() {
            private long correlation;

            @Override
            public CompletableFuture<Frame> request(String address, Frame.Builder frame, Duration timeout) {
                CompletableFuture<Frame> answer = new CompletableFuture<>();
                PeerException late = new PeerException(ResultCode.PEER_TIMEOUT, "late", address);
                Runnable expire = () -> answer.completeExceptionally(late);
                time.schedule(expire, timeout.toMillis(), TimeUnit.MILLISECONDS);
                deliver(self, address, frame.setCorrelationId(++correlation).build(), answer);
                return answer;
            }

            @Override
            public void send(String address, Frame.Builder frame) {
                deliver(self, address, frame.build(), new CompletableFuture<>());
            }

            @Override
            public CompletableFuture<PeerChannel> connect(String address) {
                throw new UnsupportedOperationException();
            }
        };
    }

    private void deliver(Vm self, String address, Frame frame, CompletableFuture<Frame> answer) {
        frames++;
        time.schedule(
                () -> {
                    Node to = nodes.get(address);
                    if (to == null
                            || isSevered(self.name(), address)
                            || to.handler().get() == null) {
                        answer.completeExceptionally(new PeerException(ResultCode.PEER_UNREACHABLE, "gone", address));
                        return;
                    }
                    to.handler().get().handle(new FakeChannel(self, address, answer), frame);
                },
                LATENCY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private boolean isSevered(String one, String other) {
        return severed.contains(one) || severed.contains(other) || isInside(one) != isInside(other);
    }

    private boolean isInside(String name) {
        return nodes.containsKey(name) && nodes.get(name).vm().dataCentre().equals(isolatedDataCentre);
    }

    /** The far end of one request. */
    private final class FakeChannel implements PeerChannel {
        private final Vm from;
        private final String self;
        private final CompletableFuture<Frame> answer;

        FakeChannel(Vm from, String self, CompletableFuture<Frame> answer) {
            this.from = from;
            this.self = self;
            this.answer = answer;
        }

        @Override
        public Hello hello() {
            return Hello.newBuilder()
                    .setVmName(from.name())
                    .setDataCentre(from.dataCentre())
                    .build();
        }

        @Override
        public void send(Frame frame) {
            frames++;
            if (isSevered(from.name(), self)) {
                return;
            }
            if (frame.hasFailure()) {
                answer.completeExceptionally(new CompletionException(
                        new PeerException(ResultCode.PEER_UNREACHABLE, "failure", from.name())));
            } else {
                Runnable arrive = () -> answer.complete(frame);
                time.schedule(arrive, LATENCY_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void onClose(Runnable action) {}
    }

    /** Returns the versions that the stores have. */
    List<Long> versions() {
        List<Long> versions = new ArrayList<>();
        all().forEach(n -> versions.add(n.store().version()));
        return versions;
    }
}
