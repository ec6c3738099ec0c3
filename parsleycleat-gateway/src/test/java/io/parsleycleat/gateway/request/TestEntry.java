package io.parsleycleat.gateway.request;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.parsleycleat.core.connection.body.BodyMemory;
import io.parsleycleat.core.connection.caller.CallerLimits;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.CrashAttribution;
import io.parsleycleat.gateway.connection.upstream.UpstreamConnectionPools;
import io.parsleycleat.gateway.process.members.EntryMembers;
import io.parsleycleat.gateway.process.members.EntryMessenger;
import io.parsleycleat.gateway.process.members.GateClient;
import io.parsleycleat.gateway.request.choose.EngineChooser;
import io.parsleycleat.gateway.request.choose.EngineView;
import io.parsleycleat.gateway.request.choose.PlainServiceChooser;
import io.parsleycleat.gateway.request.choose.UpstreamAvailability;
import io.parsleycleat.gateway.request.choose.UpstreamLimits;
import io.parsleycleat.gateway.request.choose.UpstreamLoads;
import io.parsleycleat.gateway.request.crash.CrashDetector;
import io.parsleycleat.gateway.request.forward.ForwardMetrics;
import io.parsleycleat.gateway.request.forward.ForwardingContext;
import io.parsleycleat.gateway.request.forward.RequestForwarder;
import io.parsleycleat.gateway.request.limits.AccountBudgets;
import io.parsleycleat.gateway.request.limits.BudgetHomes;
import io.parsleycleat.gateway.request.limits.BudgetPeers;
import io.parsleycleat.gateway.request.limits.RetryShare;
import io.parsleycleat.gateway.request.permits.PermitHomes;
import io.parsleycleat.gateway.request.permits.UpstreamPermits;
import io.parsleycleat.gateway.version.follow.Freshness;
import io.parsleycleat.gateway.version.routes.Account;
import io.parsleycleat.gateway.version.routes.AdapterVersions;
import io.parsleycleat.gateway.version.routes.ConfigurationHolder;
import io.parsleycleat.gateway.version.routes.EngineSpec;
import io.parsleycleat.gateway.version.routes.ModelSpec;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.routes.Route;
import io.parsleycleat.gateway.version.routes.RoutingTable;
import io.parsleycleat.gateway.version.routes.ServiceShare;
import io.parsleycleat.gateway.version.routes.ServiceSpec;
import io.parsleycleat.gateway.version.upstreams.DrainedDataCentres;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectory;
import io.parsleycleat.wire.gate.EntryRecord;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.jspecify.annotations.Nullable;

/** The parts of an entry that forward requests, with one service and its peers in the same process. */
final class TestEntry {
    static final int ANSWER_MEMORY_BYTES = 16 * 1024 * 1024;
    /** The port on which sides listen. */
    static final int SIDE_PORT = 1;

    static final EngineSpec ENGINE_SPEC =
            new EngineSpec(64, 200_000, 1_100, 3, 3, 2, List.of(new ModelSpec("m", 1_000, 10, Duration.ofMillis(700))));

    final String name;
    final UpstreamDirectory directory = new UpstreamDirectory();
    final ConfigurationHolder configuration = new ConfigurationHolder();
    final DrainedDataCentres drained = new DrainedDataCentres();
    final Freshness freshness;
    final CrashDetector crashWatch;
    final EntryMembers members;
    final RequestForwarder forwarder;
    final PermitHomes permitHomes;
    final RetryShare retryShare;
    private final MetricRegistry metrics = new MetricRegistry();
    final BodyMemory answerMemory = new BodyMemory(ANSWER_MEMORY_BYTES);
    final AccountBudgets budgets;
    final Faults faults = new Faults();
    /** Replaces the entries from which budgets are drawn. */
    volatile @Nullable BudgetPeers budgetPeers;

    private final BudgetHomes budgetHomes;
    private final UpstreamLoads loads;

    TestEntry(String name, EventLoop loop, TimeSource time, TimeSource freshnessTime, InMemoryPeers network) {
        this(name, loop, loop, time, freshnessTime, network);
    }

    /**
     * Creates an entry.
     *
     * @param scheduler runs requests that wait for a permit
     */
    TestEntry(
            String name,
            EventLoop loop,
            ScheduledExecutorService scheduler,
            TimeSource time,
            TimeSource freshnessTime,
            InMemoryPeers network) {
        this.name = name;
        InMemoryPeers.Node peers = network.node(name);
        freshness = new Freshness(freshnessTime);
        crashWatch = new CrashDetector(new CrashAttribution(() -> 0), time, m -> {});
        members = new EntryMembers(name, time, p -> {});
        loads = new UpstreamLoads(time, directory);
        UpstreamLimits limits = new UpstreamLimits(time, () -> 0);
        EngineView view = new EngineView(time, limits);
        budgetHomes = new BudgetHomes(name, new BudgetHomes.Slack(0, Duration.ofSeconds(8)), time, () -> true);
        permitHomes = new PermitHomes(name, time, () -> true, scheduler);
        permitHomes.setOtherEntries(Set.of());
        EntryMessenger messenger = new EntryMessenger(
                name, peers, peers, members, budgetHomes, permitHomes, limits, crashWatch, view, null);
        retryShare = new RetryShare(new RetryShare.Bounds(10, 100, Duration.ofSeconds(10)), time, () -> 1);
        ForwardingContext context = new ForwardingContext(
                new FaultyCodec(new ForwardingFixture.HeaderCodec(), faults),
                loop,
                time,
                configuration,
                directory,
                new AdapterVersions(),
                new UpstreamConnectionPools(loop, time, directory, u -> 1_000),
                loads,
                new UpstreamAvailability(time, () -> 0, drained),
                limits,
                new UpstreamPermits(permitHomes, messenger, limits, time),
                new PlainServiceChooser(loads, "here", () -> 0),
                new EngineChooser(view, loads, limits),
                view,
                new GateClient(peers, SIDE_PORT),
                retryShare,
                crashWatch,
                answerMemory,
                new ForwardMetrics(metrics));
        budgets = new AccountBudgets(name, budgetHomes, budgetPeersOr(messenger), time, loop);
        forwarder = new RequestForwarder(
                context,
                freshness,
                budgets,
                new RequestForwarder.StalenessLimits(Duration.ofSeconds(4), Duration.ofSeconds(2)),
                () -> false,
                () -> {
                    faults.check("select");
                    return 0;
                });
    }

    private BudgetPeers budgetPeersOr(BudgetPeers network) {
        return new BudgetPeers() {
            @Override
            public CompletableFuture<Grant> draw(String entry, String account, double needed, double prefetch) {
                faults.check("draw");
                return current().draw(entry, account, needed, prefetch);
            }

            @Override
            public void returnTokens(String entry, String account, double tokens) {
                current().returnTokens(entry, account, tokens);
            }

            private BudgetPeers current() {
                BudgetPeers replaced = budgetPeers;
                return replaced == null ? network : replaced;
            }
        };
    }

    /** Puts accounts with limits in force, of whose budgets another entry holds a part. */
    void limitAccounts(String otherEntry, List<Account> accounts) {
        budgetHomes.setOtherEntries(Set.of(otherEntry));
        budgets.setAccounts(accounts);
    }

    /** Returns how many heads of answers have arrived. */
    long headCount() {
        return metrics.histogram("forward.head.millis").getCount();
    }

    /** Returns how many requests of this entry an upstream has not answered. */
    int openRequests(String upstreamId) {
        return directory.find(upstreamId).map(u -> loads.of(u).requestCount()).orElse(0);
    }

    /** Makes another entry known to this one. */
    void addMember(String name) {
        EntryRecord entry = EntryRecord.newBuilder()
                .setPeerAddress(name)
                .setDataCentre("here")
                .build();
        members.onPut(name, entry.toByteArray());
        permitHomes.setOtherEntries(members.peerAddresses().keySet());
    }

    /**
     * Puts a configuration with one route in force.
     *
     * @param engine set if the route leads to model engines
     */
    void configure(
            RequestKind kind,
            boolean resumable,
            int maxUpstreams,
            Duration timeout,
            Duration objective,
            @Nullable EngineSpec engine) {
        configure(kind, resumable, maxUpstreams, timeout, objective, engine, List.of(ForwardingFixture.ACCOUNT));
    }

    /** Puts a configuration with one route and the given accounts in force. */
    void configure(
            RequestKind kind,
            boolean resumable,
            int maxUpstreams,
            Duration timeout,
            Duration objective,
            @Nullable EngineSpec engine,
            List<Account> accounts) {
        Route route = new Route(
                "r",
                "h",
                "/p/",
                kind,
                List.of(new ServiceShare("s", 1)),
                timeout,
                objective,
                Duration.ZERO,
                1,
                maxUpstreams,
                false,
                resumable);
        configuration.applyIfNewer(new RoutingTable(
                configuration.current().map(t -> t.version() + 1).orElse(1L),
                List.of(route),
                List.of(new ServiceSpec("s", "/h", 10, engine)),
                Optional.of(accounts),
                CallerLimits.DEFAULT));
        freshness.confirm(freshness.now());
    }

    ForwardingFixture.RecordingCaller send(String path, List<Map.Entry<String, String>> headers) {
        ForwardingFixture.RecordingCaller caller = new ForwardingFixture.RecordingCaller();
        forwarder.handle(new CallerRequest("POST", path, headers, ByteString.copyFromUtf8("order")), caller);
        return caller;
    }

    void send(String path, String key, ForwardingFixture.RecordingCaller caller) {
        forwarder.handle(
                new CallerRequest("POST", path, List.of(Map.entry("key", key)), ByteString.copyFromUtf8("order")),
                caller);
    }
}
