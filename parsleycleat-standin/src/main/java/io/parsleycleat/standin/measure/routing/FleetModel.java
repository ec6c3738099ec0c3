package io.parsleycleat.standin.measure.routing;

import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.request.routing.ProbingSelector;
import io.parsleycleat.core.request.routing.SelectionRequest;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.routing.ProbeAnswer;
import io.parsleycleat.wire.routing.RoutingMessage;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/** All entries and sides of a deployment. Created for each run; used by one thread. */
final class FleetModel implements PeerClient {
    private static final int MAX_ATTEMPTS = 3;

    private final VirtualTime time;
    private final Deployment deployment;
    private final Measures measures;
    private final Map<String, SideModel> sides = new LinkedHashMap<>();
    private final List<ProbingSelector> entries;
    private int nextEntry;

    FleetModel(VirtualTime time, Deployment deployment, Policies policies, Measures measures, long seed) {
        this.time = time;
        this.deployment = deployment;
        this.measures = measures;
        WeightStoreModel store = new WeightStoreModel(time, deployment.loadsPerSecond());
        List<Vm> vms = IntStream.range(0, deployment.engines())
                .mapToObj(i -> new Vm("vm" + i, ProcessRole.SIDE, "e" + i, "dc", "region", "e" + i, false))
                .toList();
        vms.forEach(vm -> sides.put(
                vm.upstreamId(), new SideModel(vm.upstreamId(), time, deployment, store, policies, measures)));
        Membership membership = new Membership(() -> CompletableFuture.completedFuture(vms), time);
        membership.refresh();
        entries = IntStream.range(0, deployment.entries())
                .mapToObj(i -> ProbingSelector.builder(this, membership, new FixedConfiguration(vms), time)
                        .withSettings(policies.routing())
                        .withRegion("region")
                        .withSeed(seed + i)
                        .build())
                .toList();
    }

    /** Takes in one request at the next entry. */
    void submit(Job job) {
        measures.asked(job);
        ProbingSelector entry = entries.get(nextEntry++ % entries.size());
        attempt(job, entry, Set.of(), 1);
    }

    private void attempt(Job job, ProbingSelector entry, Set<String> excluded, int number) {
        long left = deployment.deadlineMillis() - (long) (time.millis() - job.arrivedMillis());
        SelectionRequest request = new SelectionRequest(
                job.tenant().id(),
                job.tenant().free(),
                job.adapter(),
                "base",
                "",
                job.prefixHash(),
                "",
                excluded,
                Duration.ofMillis(left));
        entry.select(request).thenAccept(choice -> {
            if (choice.isLeft()) {
                measures.refused(job, choice.getLeft());
                return;
            }
            String upstreamId = choice.get().upstreamId();
            SideModel side = Objects.requireNonNull(sides.get(upstreamId));
            time.after(
                    deployment.networkMillis() / 2,
                    () -> side.run(
                            job,
                            () -> measures.served(job),
                            refusal -> retry(job, entry, excluded, upstreamId, number, refusal)));
        });
    }

    private void retry(
            Job job, ProbingSelector entry, Set<String> excluded, String failed, int number, Refusal refusal) {
        long left = deployment.deadlineMillis() - (long) (time.millis() - job.arrivedMillis());
        if (number == MAX_ATTEMPTS || left <= 0) {
            measures.refused(job, refusal);
            return;
        }
        Set<String> further = new LinkedHashSet<>(excluded);
        further.add(failed);
        attempt(job, entry, further, number + 1);
    }

    // Connections

    @Override
    public CompletableFuture<Frame> request(String peerAddress, Frame.Builder frame, Duration timeout) {
        measures.probe();
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        double way = deployment.networkMillis() / 2;
        time.after(way, () -> {
            ProbeAnswer answer = Objects.requireNonNull(sides.get(peerAddress))
                    .answer(frame.getRouting().getProbe());
            Frame answered = Frame.newBuilder()
                    .setRouting(RoutingMessage.newBuilder().setAnswer(answer))
                    .build();
            time.after(way, () -> reply.complete(answered));
        });
        return reply;
    }

    @Override
    public void send(String peerAddress, Frame.Builder frame) {
        throw new UnsupportedOperationException("the benchmark sends requests only");
    }

    @Override
    public CompletableFuture<PeerChannel> connect(String peerAddress) {
        throw new UnsupportedOperationException("the benchmark sends requests only");
    }
}
