package io.parsleycleat.core.request.routing;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.ParsleycleatException;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.version.configuration.ConfigurationSource;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.routing.Probe;
import io.parsleycleat.wire.routing.ProbeAnswer;
import io.parsleycleat.wire.routing.RoutingMessage;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Chooses upstreams by asking a few sides when the request is there.
 *
 * <p>Created once by the entry; safe to share between threads. An adapter's candidates stand in a rendezvous order, so
 * that all entries ask the same sides first without knowing what any of them holds. Sides that do not answer, or say
 * that they are leaving, are left out until a probe that no request waits for is answered again.
 */
public final class ProbingSelector implements UpstreamSelector {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    /** Time for an answer when nobody answered in the usual time, as after a start. */
    private static final Duration LAST_PASS_TIMEOUT = Duration.ofSeconds(1);

    private static final int SERVICE_PROBES = 2;
    private static final int LEAST_LOADED_PROBES = 16;
    private static final long NO_SPILL = Long.MAX_VALUE;

    private final PeerClient peers;
    private final Membership membership;
    private final ConfigurationSource configuration;
    private final RoutingSettings settings;
    private final String region;
    private final Random random;
    private final UpstreamHealth health;
    private final Meter probes;
    private final Meter probeFailures;
    private final Meter refusals;
    private final Meter spills;
    private final Timer selections;
    private volatile @Nullable UpstreamIndex index;

    private ProbingSelector(Builder builder) {
        this.peers = builder.peers;
        this.membership = builder.membership;
        this.configuration = builder.configuration;
        this.settings = builder.settings;
        this.region = builder.region;
        this.random = new Random(builder.seed);
        this.health = new UpstreamHealth(builder.time);
        this.probes = builder.metrics.meter("routing.probes");
        this.probeFailures = builder.metrics.meter("routing.probe.failures");
        this.refusals = builder.metrics.meter("routing.refusals");
        this.spills = builder.metrics.meter("routing.spills");
        this.selections = builder.metrics.timer("routing.selections");
    }

    /** Returns a builder with default settings. */
    public static Builder builder(
            PeerClient peers, Membership membership, ConfigurationSource configuration, TimeSource time) {
        return new Builder(peers, membership, configuration, time);
    }

    @Override
    public CompletableFuture<Either<Refusal, Selection>> select(SelectionRequest request) {
        if (!configuration.isReady()) {
            return CompletableFuture.completedFuture(
                    Either.left(Refusal.of(ResultCode.NOT_READY).withRetryAfter(RETRY_AFTER)));
        }
        List<Vm> listed = listed(request);
        tryUnusable(listed, request);
        List<Vm> usable = listed.stream().filter(health::isUsable).toList();
        Timer.Context timer = selections.time();
        Attempt attempt = new Attempt(request, plan(request, usable.isEmpty() ? listed : usable));
        attempt.probeNext(attempt.plan.first());
        return attempt.result.whenComplete((selection, failure) -> timer.stop());
    }

    // Candidates

    private List<Vm> listed(SelectionRequest request) {
        UpstreamIndex current = currentIndex();
        List<Vm> vms = request.adapter() == null
                ? current.forService(request.service())
                : current.forModel(request.baseModel());
        return vms.stream()
                .filter(vm -> !request.excludedUpstreams().contains(vm.upstreamId()))
                .toList();
    }

    private UpstreamIndex currentIndex() {
        List<Vm> vms = membership.vms();
        ConfigurationView view = configuration.current();
        UpstreamIndex known = index;
        if (known != null && known.isOf(vms, view)) {
            return known;
        }
        UpstreamIndex created = UpstreamIndex.of(vms, view);
        health.retain(vms);
        index = created;
        return created;
    }

    private void tryUnusable(List<Vm> vms, SelectionRequest request) {
        vms.stream().filter(vm -> !health.isUsable(vm) && health.claimTrial(vm)).forEach(vm -> probe(vm, request)
                .whenComplete((answer, failure) -> note(vm, answer)));
    }

    private RoutingPlan plan(SelectionRequest request, List<Vm> vms) {
        AdapterVersion adapter = request.adapter();
        if (adapter == null) {
            return servicePlan(request, vms);
        }
        return switch (settings.policy()) {
            case PROBING -> new RoutingPlan(
                    "probing",
                    ownRegionFirst(RendezvousHash.order(adapter.adapterId(), vms, Vm::upstreamId)),
                    settings.probes(),
                    settings.maxProbes(),
                    c -> c.cost(settings),
                    settings.spillMillis());
            case RANDOM -> new RoutingPlan("random", shuffled(vms), 1, 1, c -> 0, NO_SPILL);
            case LEAST_LOADED -> new RoutingPlan(
                    "least loaded", shuffled(vms), LEAST_LOADED_PROBES, LEAST_LOADED_PROBES, Candidate::load, NO_SPILL);
            case RENDEZVOUS -> new RoutingPlan(
                    "rendezvous",
                    ownRegionFirst(RendezvousHash.order(adapter.adapterId(), vms, Vm::upstreamId)),
                    1,
                    1,
                    c -> 0,
                    NO_SPILL);
        };
    }

    private RoutingPlan servicePlan(SelectionRequest request, List<Vm> vms) {
        String key = request.affinityKey();
        return key.isEmpty()
                ? new RoutingPlan(
                        "least wait",
                        ownRegionFirst(shuffled(vms)),
                        SERVICE_PROBES,
                        SERVICE_PROBES,
                        Candidate::load,
                        NO_SPILL)
                : new RoutingPlan(
                        "affinity",
                        RendezvousHash.order(key, vms, Vm::upstreamId),
                        SERVICE_PROBES,
                        SERVICE_PROBES,
                        Candidate::rank,
                        NO_SPILL);
    }

    private List<Vm> shuffled(List<Vm> vms) {
        List<Vm> copy = new ArrayList<>(vms);
        Collections.shuffle(copy, random);
        return copy;
    }

    private List<Vm> ownRegionFirst(List<Vm> vms) {
        return Stream.concat(
                        vms.stream().filter(vm -> vm.region().equals(region)),
                        vms.stream().filter(vm -> !vm.region().equals(region)))
                .toList();
    }

    // Probes

    private CompletableFuture<ProbeAnswer> probe(Vm vm, SelectionRequest request) {
        return probe(vm, request, settings.probeTimeout());
    }

    private CompletableFuture<ProbeAnswer> probe(Vm vm, SelectionRequest request, Duration timeout) {
        probes.mark();
        AdapterVersion adapter = request.adapter();
        Probe.Builder probe = Probe.newBuilder()
                .setFreeTier(request.freeTier())
                .setAccountId(request.accountId())
                .setPrefixHash(request.prefixHash());
        if (adapter != null) {
            probe.setAdapterId(adapter.adapterId()).setVersion(adapter.version());
        }
        Frame.Builder frame =
                Frame.newBuilder().setRouting(RoutingMessage.newBuilder().setProbe(probe));
        return peers.request(vm.peerAddress(), frame, timeout)
                .thenApply(reply -> reply.getRouting().getAnswer());
    }

    private static boolean isTimeout(@Nullable Throwable failure) {
        return failure != null
                && Failures.unwrap(failure) instanceof ParsleycleatException e
                && e.code() == ResultCode.PEER_TIMEOUT;
    }

    /** Remembers what an answer says of its side, and returns whether the side takes requests. */
    private boolean note(Vm vm, @Nullable ProbeAnswer answer) {
        boolean takes = answer != null
                && answer.getUpstreamId().equals(vm.upstreamId())
                && health.isNewest(answer)
                && answer.getReachable()
                && !answer.getLeaving();
        if (takes) {
            health.answered(vm);
        } else {
            probeFailures.mark();
            health.failed(vm);
        }
        return takes;
    }

    /** The choice for one request. Its state is guarded by its own lock. */
    private final class Attempt {
        private final SelectionRequest request;
        private final RoutingPlan plan;
        private final CompletableFuture<Either<Refusal, Selection>> result = new CompletableFuture<>();
        private final List<Candidate> answered = new ArrayList<>();
        private int sent;
        private int open;
        private boolean timedOut;
        private boolean lastPass;

        Attempt(SelectionRequest request, RoutingPlan plan) {
            this.request = request;
            this.plan = plan;
        }

        void probeNext(int count) {
            int from;
            List<Vm> batch;
            synchronized (this) {
                from = sent;
                batch = plan.ordered().subList(from, Math.min(plan.ordered().size(), from + count));
                sent += batch.size();
                open = batch.size();
            }
            if (batch.isEmpty()) {
                decide();
                return;
            }
            for (int i = 0; i < batch.size(); i++) {
                Vm vm = batch.get(i);
                int rank = from + i;
                long sentBefore = health.sentTotal(vm);
                probe(vm, request, timeout())
                        .whenComplete((answer, failure) -> onAnswer(vm, rank, sentBefore, answer, failure));
            }
        }

        private synchronized Duration timeout() {
            return lastPass ? LAST_PASS_TIMEOUT : settings.probeTimeout();
        }

        private void onAnswer(
                Vm vm, int rank, long sentBefore, @Nullable ProbeAnswer answer, @Nullable Throwable failure) {
            boolean takes = note(vm, answer);
            boolean last;
            synchronized (this) {
                timedOut |= isTimeout(failure);
                if (takes && answer != null) {
                    answered.add(new Candidate(vm, rank, answer, health.sentTotal(vm) - sentBefore));
                }
                open--;
                last = open == 0;
            }
            if (last) {
                decide();
            }
        }

        private void decide() {
            Candidate best;
            boolean more;
            synchronized (this) {
                best = answered.stream().min(this::compare).orElse(null);
                boolean spill = best == null || (best.startMillis() > plan.spillMillis() && sent < plan.max());
                more = spill && sent < plan.ordered().size();
            }
            if (more) {
                spills.mark();
                probeNext(1);
            } else if (best == null && beginLastPass()) {
                probeNext(plan.ordered().size());
            } else {
                result.complete(best == null ? noUpstream() : choose(best));
            }
        }

        /** When nobody takes the request but some were only slow to answer, all are asked once more with more time. */
        private synchronized boolean beginLastPass() {
            boolean begins = timedOut && !lastPass;
            if (begins) {
                lastPass = true;
                sent = 0;
            }
            return begins;
        }

        private int compare(Candidate a, Candidate b) {
            int byCost =
                    Double.compare(plan.cost().applyAsDouble(a), plan.cost().applyAsDouble(b));
            return byCost != 0 ? byCost : Integer.compare(a.rank(), b.rank());
        }

        private Either<Refusal, Selection> choose(Candidate best) {
            Duration start = Duration.ofMillis(best.startMillis());
            if (start.compareTo(request.deadline()) > 0) {
                refusals.mark();
                return Either.left(Refusal.of(ResultCode.DEADLINE_UNREACHABLE, "the least wait is " + best.describe())
                        .withRetryAfter(start));
            }
            health.sent(best.vm());
            return Either.right(new Selection(best.vm(), plan.name() + ": " + best.describe()));
        }

        private Either<Refusal, Selection> noUpstream() {
            refusals.mark();
            String detail = plan.ordered().isEmpty()
                    ? "no upstream of this kind is listed"
                    : "none of " + sent + " upstreams takes requests";
            return Either.left(Refusal.of(ResultCode.NO_UPSTREAM, detail).withRetryAfter(RETRY_AFTER));
        }
    }

    /** Collects what a selector is made of. Used by one thread. */
    public static final class Builder {
        private final PeerClient peers;
        private final Membership membership;
        private final ConfigurationSource configuration;
        private final TimeSource time;
        private RoutingSettings settings = RoutingSettings.DEFAULT;
        private String region = "";
        private long seed = System.nanoTime();
        private MetricRegistry metrics = new MetricRegistry();

        private Builder(PeerClient peers, Membership membership, ConfigurationSource configuration, TimeSource time) {
            this.peers = peers;
            this.membership = membership;
            this.configuration = configuration;
            this.time = time;
        }

        /** Sets policy, costs and bounds. */
        public Builder withSettings(RoutingSettings newSettings) {
            settings = newSettings;
            return this;
        }

        /** Sets the entry's region, whose upstreams come first. */
        public Builder withRegion(String newRegion) {
            region = newRegion;
            return this;
        }

        /** Sets the seed of random choices. */
        public Builder withSeed(long newSeed) {
            seed = newSeed;
            return this;
        }

        /** Sets where the selector's metrics are registered. */
        public Builder withMetrics(MetricRegistry newMetrics) {
            metrics = newMetrics;
            return this;
        }

        /** Returns the selector. */
        public ProbingSelector build() {
            return new ProbingSelector(this);
        }
    }
}
