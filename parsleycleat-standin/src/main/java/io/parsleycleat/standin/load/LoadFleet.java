package io.parsleycleat.standin.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.standin.fleet.DaemonNode;
import io.parsleycleat.standin.fleet.Fleet;
import io.parsleycleat.standin.fleet.OperatorClient;
import io.parsleycleat.standin.fleet.Place;
import io.parsleycleat.standin.fleet.StandInNode;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Upstream;
import io.parsleycleat.wire.configuration.UpstreamKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The processes of a run, configured for its accounts and adapters.
 *
 * <p>Created by {@link LoadCommand} for each run; used by one thread.
 */
final class LoadFleet implements AutoCloseable {
    private static final String BASE_MODEL = "base";
    private static final String RECORDS_KEPT = "2000";
    /** High enough for the creation of all adapters not to take minutes; the run itself appends little. */
    private static final String APPENDS_PER_SECOND = "2000";

    private final Fleet fleet = Fleet.create();
    private final LoadOptions options;
    private final List<StandInNode> engines = new ArrayList<>();
    private final List<StandInNode> services = new ArrayList<>();
    private final List<DaemonNode> sides = new ArrayList<>();
    private final List<DaemonNode> entries = new ArrayList<>();
    private Map<String, String> keys = Map.of();

    LoadFleet(LoadOptions options) {
        this.options = options;
    }

    /** Starts all processes and returns once every daemon can serve. */
    LoadFleet start() {
        Deployment deployment = options.deployment();
        fleet.startLog("--appends-per-second", APPENDS_PER_SECOND, "--records", RECORDS_KEPT);
        fleet.startVmList();
        fleet.startWeightStore(
                "--loads-per-second",
                Double.toString(deployment.loadsPerSecond()),
                "--burst",
                Double.toString(deployment.loadsPerSecond()));
        IntStream.range(0, deployment.engines()).forEach(this::startEngine);
        IntStream.range(0, deployment.services()).forEach(this::startService);
        IntStream.range(0, options.entries()).forEach(this::startEntry);
        entries.forEach(e -> e.awaitReady(Fleet.START_TIMEOUT));
        sides.forEach(s -> s.awaitReady(Fleet.START_TIMEOUT));
        return this;
    }

    /** Creates accounts, keys, adapters, routes and upstreams. */
    void configure(List<AccountPlan> accounts) {
        double offered = Workload.offeredTokensPerSecond(options);
        try (OperatorClient operator = fleet.operator(entries.get(0))) {
            operator.applyAll(accounts.stream().map(a -> account(a, offered)).toList());
            operator.applyAll(upstreams());
            operator.applyAll(accounts.stream().flatMap(LoadFleet::adapters).toList());
            operator.applyAll(routes(accounts));
            keys = accounts.stream().collect(Collectors.toMap(AccountPlan::id, a -> operator.issueKey(a.id())));
        }
    }

    List<DaemonNode> entries() {
        return entries;
    }

    List<DaemonNode> sides() {
        return sides;
    }

    List<StandInNode> engines() {
        return engines;
    }

    List<StandInNode> services() {
        return services;
    }

    Fleet fleet() {
        return fleet;
    }

    /** Returns the key of an account. */
    String key(String accountId) {
        return keys.getOrDefault(accountId, "");
    }

    @Override
    public void close() {
        fleet.close();
    }

    // Processes

    private void startEngine(int index) {
        StandInNode engine = fleet.startEngine(
                "engine-" + index,
                "--base-model",
                BASE_MODEL,
                "--slots",
                Integer.toString(options.slots()),
                "--batch-size",
                Integer.toString(options.batchSize()),
                "--report-lag-millis",
                "500",
                "--event-lag-millis",
                "500",
                "--records",
                RECORDS_KEPT);
        engines.add(engine);
        sides.add(fleet.startEngineSide("engine-side-" + index, place(index), engine, queue(options.batchSize())));
    }

    private void startService(int index) {
        String service = options.deployment().service();
        StandInNode node = fleet.startService(service + "-" + index, "--records", RECORDS_KEPT);
        services.add(node);
        sides.add(fleet.startServiceSide(
                service + "-side-" + index, place(index), node, service, UnaryOperator.identity()));
    }

    private void startEntry(int index) {
        entries.add(fleet.startEntry("entry-" + index, place(index), settings -> {
            ((ObjectNode) settings.path("requests")).put("routingPolicy", options.routingPolicy());
            ((ObjectNode) settings.path("platform"))
                    .put("weightStoreLoadsPerSecond", options.deployment().loadsPerSecond());
            return settings;
        }));
    }

    private UnaryOperator<ObjectNode> queue(int maxRunning) {
        return settings -> {
            ((ObjectNode) settings.path("upstream"))
                    .put("queuePolicy", options.queuePolicy())
                    .put("maxRunning", maxRunning);
            return settings;
        };
    }

    private Place place(int index) {
        return new Place(
                options.deployment().dataCentre(index), options.deployment().region());
    }

    // Configuration

    private static Change account(AccountPlan plan, double offered) {
        return OperatorClient.creation(ItemKind.ITEM_KIND_ACCOUNT, plan.id())
                .setAccount(Account.newBuilder()
                        .setId(plan.id())
                        .setTokensPerSecond(plan.tokensPerSecond(offered))
                        .setBurstTokens(plan.burstTokens(offered))
                        .setWeight(plan.weight())
                        .setFreeTier(plan.freeTier()))
                .build();
    }

    private static Stream<Change> adapters(AccountPlan plan) {
        return IntStream.range(0, plan.adapters()).mapToObj(plan::adapterId).map(id -> OperatorClient.creation(
                        ItemKind.ITEM_KIND_ADAPTER, id)
                .setAdapter(Adapter.newBuilder()
                        .setId(id)
                        .setBaseModel(BASE_MODEL)
                        .setOwnerAccountId(plan.id())
                        .addVersions(Arrival.VERSION)
                        .setCurrentVersion(Arrival.VERSION))
                .build());
    }

    private List<Change> upstreams() {
        Stream<Change> models = engines.stream()
                .map(e -> upstream(Upstream.newBuilder()
                        .setId(e.process().name())
                        .setKind(UpstreamKind.UPSTREAM_KIND_MODEL_ENGINE)
                        .setBaseModel(BASE_MODEL)
                        .setChecksFencing(true)));
        Stream<Change> plain = services.stream()
                .map(s -> upstream(Upstream.newBuilder()
                        .setId(s.process().name())
                        .setKind(UpstreamKind.UPSTREAM_KIND_PLAIN_SERVICE)
                        .setService(options.deployment().service())));
        return Stream.concat(models, plain).toList();
    }

    private static Change upstream(Upstream.Builder upstream) {
        return OperatorClient.creation(ItemKind.ITEM_KIND_UPSTREAM, upstream.getId())
                .setUpstream(upstream)
                .build();
    }

    private List<Change> routes(List<AccountPlan> accounts) {
        String service = options.deployment().service();
        Stream<Route.Builder> open = accounts.stream()
                .filter(AccountPlan::freeTier)
                .flatMap(a -> IntStream.range(0, a.adapters())
                        .mapToObj(a::adapterId)
                        .map(id -> Route.newBuilder()
                                .setId("open-" + id)
                                .setAdapterId(id)
                                .setOpenToAll(true)
                                .setUnkeyedAccountId(a.id())));
        return Stream.concat(Stream.of(Route.newBuilder().setId(service).setService(service)), open)
                .map(r -> OperatorClient.creation(ItemKind.ITEM_KIND_ROUTE, r.getId())
                        .setRoute(r)
                        .build())
                .toList();
    }
}
