package io.parsleycleat.scenario;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.ListenableFuture;
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
import io.parsleycleat.wire.operators.ApplyRequest;
import io.parsleycleat.wire.operators.ApplyResponse;
import io.parsleycleat.wire.operators.ApplyState;
import io.parsleycleat.wire.operators.ListItemsRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

/** A small fleet of one deployment's kind, configured for one account. Shared by the scenarios that name it. */
final class Deployment implements AutoCloseable {
    static final String BASE_MODEL = "base-7b";
    static final List<String> ADAPTERS =
            IntStream.range(0, 6).mapToObj(i -> "quotes-" + i).toList();
    static final String CRASH_MARKER = "crash-the-engine";
    private static final String KEY_PREFIX = "plc-";
    private static final String ACCOUNT = "guests";
    private static final Map<String, Deployment> RUNNING = new ConcurrentHashMap<>();

    private final Fleet fleet = Fleet.create();
    private final String service;
    private final List<DaemonNode> entries = new ArrayList<>();
    private final List<DaemonNode> serviceSides = new ArrayList<>();
    private final List<DaemonNode> engineSides = new ArrayList<>();
    private final List<StandInNode> services = new ArrayList<>();
    private final List<StandInNode> engines = new ArrayList<>();
    private String key = "";

    private Deployment(String service) {
        this.service = service;
    }

    static Deployment of(String name) {
        return RUNNING.computeIfAbsent(name, n -> switch (n) {
            case "Mekdes" -> new Deployment("orders").start(2, 1);
            case "Schieferpfad" -> new Deployment("bookings").start(1, 2);
            default -> throw new IllegalArgumentException("no deployment " + n);
        });
    }

    static void closeAll() {
        RUNNING.values().forEach(Deployment::close);
        RUNNING.clear();
    }

    String service() {
        return service;
    }

    Fleet fleet() {
        return fleet;
    }

    List<DaemonNode> entries() {
        return entries;
    }

    List<DaemonNode> serviceSides() {
        return serviceSides;
    }

    List<DaemonNode> engineSides() {
        return engineSides;
    }

    List<StandInNode> services() {
        return services;
    }

    List<StandInNode> engines() {
        return engines;
    }

    String key() {
        return key;
    }

    String account() {
        return ACCOUNT;
    }

    /** Returns the public part of the key. */
    String keyId() {
        return key.substring(KEY_PREFIX.length(), key.indexOf('.'));
    }

    /** Issues another key for the account. */
    void renewKey() {
        try (OperatorClient operator = operator(0)) {
            key = operator.issueKey(ACCOUNT);
        }
    }

    OperatorClient operator(int entry) {
        return fleet.operator(entries.get(entry));
    }

    /** Changes the account's rate as an operator who saw it in some version. */
    CompletableFuture<ApplyState> changeRate(OperatorClient operator, long version, double tokensPerSecond) {
        Change change = Change.newBuilder()
                .setChangeId(UUID.randomUUID().toString())
                .setKind(ItemKind.ITEM_KIND_ACCOUNT)
                .setItemId(ACCOUNT)
                .setExpectedVersion(version)
                .setAccount(account(tokensPerSecond))
                .build();
        ListenableFuture<ApplyResponse> response = operator.stub()
                .apply(ApplyRequest.newBuilder().setChange(change).build());
        CompletableFuture<ApplyState> state = new CompletableFuture<>();
        response.addListener(() -> state.complete(Futures.getUnchecked(response).getState()), Runnable::run);
        return state;
    }

    long accountVersion(OperatorClient operator) {
        ListItemsRequest request = ListItemsRequest.newBuilder()
                .setKind(ItemKind.ITEM_KIND_ACCOUNT)
                .build();
        return Futures.getUnchecked(operator.stub().listItems(request)).getItemsList().stream()
                .filter(i -> i.getId().equals(ACCOUNT))
                .findFirst()
                .orElseThrow()
                .getVersion();
    }

    private static Account account(double tokensPerSecond) {
        return Account.newBuilder()
                .setId(ACCOUNT)
                .setTokensPerSecond(tokensPerSecond)
                .setBurstTokens(1_000_000)
                .setWeight(1)
                .build();
    }

    /** Starts a second side beside an engine whose first one is paused, and makes it the engine's side. */
    DaemonNode succeed(int engine) {
        DaemonNode before = engineSides.get(engine);
        String name = before.vm().name() + "-" + System.nanoTime();
        DaemonNode successor = fleet.startEngineSide(
                name, new Place(before.vm().dataCentre(), before.vm().region()), engines.get(engine), this::quick);
        successor.awaitReady(Fleet.START_TIMEOUT);
        engineSides.set(engine, successor);
        return before;
    }

    /** Replaces an ended daemon by a new process with empty memory. */
    void restart(List<DaemonNode> nodes, int index) {
        DaemonNode started = fleet.restart(nodes.get(index));
        nodes.set(index, started);
        started.awaitReady(Fleet.START_TIMEOUT);
    }

    @Override
    public void close() {
        fleet.close();
    }

    private Deployment start(int serviceCount, int engineCount) {
        Place[] places = {new Place("dc-1", "region-1"), new Place("dc-2", "region-1")};
        fleet.startLog();
        fleet.startVmList();
        fleet.startWeightStore("--loads-per-second", "50", "--burst", "50", "--transit-millis", "40");
        for (int i = 0; i < serviceCount; i++) {
            StandInNode node = fleet.startService(service + "-" + i, "--records", "100000");
            services.add(node);
            serviceSides.add(fleet.startServiceSide(service + "-side-" + i, places[i], node, service, this::quick));
        }
        for (int i = 0; i < engineCount; i++) {
            StandInNode engine = fleet.startEngine(
                    "engine-" + i,
                    "--base-model",
                    BASE_MODEL,
                    "--records",
                    "100000",
                    "--slots",
                    "3",
                    "--ignore-fencing",
                    "--crash-marker",
                    CRASH_MARKER,
                    "--restart-millis",
                    "300");
            engines.add(engine);
            engineSides.add(fleet.startEngineSide("engine-side-" + i, places[i], engine, this::quick));
        }
        for (int i = 0; i < places.length; i++) {
            entries.add(fleet.startEntry("entry-" + i, places[i], this::quick));
        }
        entries.forEach(e -> e.awaitReady(Fleet.START_TIMEOUT));
        serviceSides.forEach(s -> s.awaitReady(Fleet.START_TIMEOUT));
        engineSides.forEach(s -> s.awaitReady(Fleet.START_TIMEOUT));
        configure();
        return this;
    }

    private ObjectNode quick(ObjectNode settings) {
        ((ObjectNode) settings.path("platform")).put("vmListIntervalMillis", 200);
        ((ObjectNode) settings.path("control")).put("leaveDelayMillis", 300).put("drainTimeoutMillis", 5000);
        if (settings.has("upstream")) {
            ((ObjectNode) settings.path("upstream"))
                    .put("leaseMillis", 1500)
                    .put("reportIntervalMillis", 100)
                    .put("checksFencing", false);
        }
        return settings;
    }

    private void configure() {
        try (OperatorClient operator = operator(0)) {
            List<Change> changes = new ArrayList<>();
            changes.add(OperatorClient.creation(ItemKind.ITEM_KIND_ACCOUNT, ACCOUNT)
                    .setAccount(account(100_000))
                    .build());
            services.forEach(s -> changes.add(upstream(s, UpstreamKind.UPSTREAM_KIND_PLAIN_SERVICE)));
            engines.forEach(e -> changes.add(upstream(e, UpstreamKind.UPSTREAM_KIND_MODEL_ENGINE)));
            operator.applyAll(changes);
            operator.applyAll(ADAPTERS.stream().map(Deployment::adapter).toList());
            operator.apply(OperatorClient.creation(ItemKind.ITEM_KIND_ROUTE, service)
                    .setRoute(Route.newBuilder().setId(service).setService(service))
                    .build());
            key = operator.issueKey(ACCOUNT);
        }
    }

    private static Change adapter(String id) {
        return OperatorClient.creation(ItemKind.ITEM_KIND_ADAPTER, id)
                .setAdapter(Adapter.newBuilder()
                        .setId(id)
                        .setBaseModel(BASE_MODEL)
                        .setOwnerAccountId(ACCOUNT)
                        .addVersions("1")
                        .addVersions("2")
                        .setCurrentVersion("2"))
                .build();
    }

    private Change upstream(StandInNode node, UpstreamKind kind) {
        Upstream.Builder upstream =
                Upstream.newBuilder().setId(node.process().name()).setKind(kind);
        if (kind == UpstreamKind.UPSTREAM_KIND_MODEL_ENGINE) {
            upstream.setBaseModel(BASE_MODEL);
        } else {
            upstream.setService(service);
        }
        return OperatorClient.creation(
                        ItemKind.ITEM_KIND_UPSTREAM, node.process().name())
                .setUpstream(upstream)
                .build();
    }
}
