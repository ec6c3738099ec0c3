package io.parsleycleat.standin.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.standin.http.Json;
import io.parsleycleat.standin.upstream.EngineTokens;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Upstream;
import io.parsleycleat.wire.configuration.UpstreamKind;
import java.time.Duration;
import java.util.UUID;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Response;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** The whole path over separate processes: one entry, a side beside an engine and one beside a plain service. */
public class FleetServingTest {
    private static final Place PLACE = new Place("dc-1", "region-1");
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

    private Fleet fleet;
    private DaemonNode entry;
    private DaemonNode engineSide;
    private StandInNode engine;
    private StandInNode orders;
    private String key;

    @BeforeClass
    public void start() {
        fleet = Fleet.create().startPlatform();
        engine = fleet.startEngine("engine-1", "--token-micros", "1000");
        orders = fleet.startService("orders-1");
        engineSide = fleet.startEngineSide("side-1", PLACE, engine, FleetServingTest::stopSoon);
        fleet.startServiceSide("side-2", PLACE, orders, "orders", FleetServingTest::stopSoon);
        entry = fleet.startEntry("entry-1", PLACE, FleetServingTest::stopSoon);
        entry.awaitReady(Fleet.START_TIMEOUT);
        engineSide.awaitReady(Fleet.START_TIMEOUT);
        try (OperatorClient operator = fleet.operator(entry)) {
            configure(operator);
            key = operator.issueKey("tailors");
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    @Test(timeOut = 60_000)
    public void completionRunsOnTheAdapterAndVersionThatWereAskedFor() {
        JsonNode first = complete("quotes@2");
        assertEquals(first.path("choices").path(0).path("text").asText(), EngineTokens.answer("quotes@2", "silk", 20));
        assertEquals(first.path("model").asText(), "quotes@2");
        JsonNode current = complete("quotes");
        assertEquals(
                current.path("choices").path(0).path("text").asText(), EngineTokens.answer("quotes@1", "silk", 20));
    }

    @Test(timeOut = 60_000)
    public void orderHasOneEffectThoughItsCallerRepeatsIt() {
        String orderKey = key(System.currentTimeMillis());
        Response first = order(orderKey);
        Response second = order(orderKey);
        assertEquals(first.getStatusCode(), 200, first.getResponseBody());
        assertEquals(second.getResponseBody(), first.getResponseBody());
        assertEquals(orders.read("records").path("records").size(), 1);
    }

    @Test(timeOut = 60_000, dependsOnMethods = "orderHasOneEffectThoughItsCallerRepeatsIt")
    public void noUpstreamSeesTheCallersKey() {
        complete("quotes@2");
        assertFalse(engine.read("records").toString().contains(key));
        assertFalse(orders.read("records").toString().contains(key));
    }

    @Test(timeOut = 60_000)
    public void requestWithoutKeyIsRefusedAsNotRun() {
        Response refused = fleet.http()
                .client()
                .preparePost(entry.callers() + "/v1/completions")
                .setBody("{\"model\":\"quotes@2\",\"prompt\":\"silk\"}")
                .execute()
                .toCompletableFuture()
                .join();
        assertEquals(refused.getStatusCode(), 401);
        assertEquals(
                Json.parse(refused.getResponseBody())
                        .path("error")
                        .path("class")
                        .asText(),
                "not run");
    }

    @Test(
            timeOut = 60_000,
            dependsOnMethods = {
                "completionRunsOnTheAdapterAndVersionThatWereAskedFor",
                "noUpstreamSeesTheCallersKey",
                "requestWithoutKeyIsRefusedAsNotRun"
            })
    public void daemonsStopGracefullyOnSigterm() {
        entry.process().terminate();
        engineSide.process().terminate();
        assertTrue(entry.process().awaitExit(STOP_TIMEOUT).isPresent());
        assertTrue(engineSide.process().awaitExit(STOP_TIMEOUT).isPresent());
    }

    private JsonNode complete(String model) {
        ObjectNode body = Json.object()
                .put("model", model)
                .put("prompt", "silk")
                .put("max_tokens", 20)
                .put("ignore_eos", true);
        Response response = call("/v1/completions", body.toString());
        assertEquals(response.getStatusCode(), 200, response.getResponseBody());
        return Json.parse(response.getResponseBody());
    }

    private Response order(String orderKey) {
        return post("/services/orders/new")
                .setHeader("Idempotency-Key", orderKey)
                .setBody("covered buttons")
                .execute()
                .toCompletableFuture()
                .join();
    }

    private Response call(String path, String body) {
        return post(path).setBody(body).execute().toCompletableFuture().join();
    }

    private BoundRequestBuilder post(String path) {
        return fleet.http()
                .client()
                .preparePost(entry.callers() + path)
                .setRequestTimeout(Duration.ofSeconds(30))
                .setHeader("Authorization", "Bearer " + key);
    }

    private static String key(long timeMillis) {
        return new UUID(timeMillis << 16 | 0x7001L, 0x8000000000000001L).toString();
    }

    private static ObjectNode stopSoon(ObjectNode settings) {
        ((ObjectNode) settings.path("control")).put("leaveDelayMillis", 100);
        return settings;
    }

    private static void configure(OperatorClient operator) {
        operator.apply(OperatorClient.creation(ItemKind.ITEM_KIND_ACCOUNT, "tailors")
                .setAccount(Account.newBuilder()
                        .setId("tailors")
                        .setTokensPerSecond(1_000)
                        .setBurstTokens(10_000)
                        .setWeight(1))
                .build());
        operator.apply(OperatorClient.creation(ItemKind.ITEM_KIND_ADAPTER, "quotes")
                .setAdapter(Adapter.newBuilder()
                        .setId("quotes")
                        .setBaseModel("base")
                        .setOwnerAccountId("tailors")
                        .addVersions("1")
                        .addVersions("2")
                        .setCurrentVersion("1"))
                .build());
        operator.apply(OperatorClient.creation(ItemKind.ITEM_KIND_UPSTREAM, "engine-1")
                .setUpstream(Upstream.newBuilder()
                        .setId("engine-1")
                        .setKind(UpstreamKind.UPSTREAM_KIND_MODEL_ENGINE)
                        .setBaseModel("base")
                        .setChecksFencing(true))
                .build());
        operator.apply(OperatorClient.creation(ItemKind.ITEM_KIND_UPSTREAM, "orders-1")
                .setUpstream(Upstream.newBuilder()
                        .setId("orders-1")
                        .setKind(UpstreamKind.UPSTREAM_KIND_PLAIN_SERVICE)
                        .setService("orders"))
                .build());
        operator.apply(OperatorClient.creation(ItemKind.ITEM_KIND_ROUTE, "orders")
                .setRoute(Route.newBuilder().setId("orders").setService("orders"))
                .build());
    }
}
