package io.parsleycleat.standin.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.parsleycleat.standin.http.Json;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Upstream;
import io.parsleycleat.wire.configuration.UpstreamKind;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.Response;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** An entry that is stopped in calm with requests that outlast its stop, over separate processes. */
public class FleetStopTest {
    private static final Place PLACE = new Place("dc-1", "region-1");
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
    private static final long WAIT_SECONDS = 30;
    private static final int CODE_DEADLINE_PASSED = 2007;
    private static final int EXIT_OK = 0;

    private Fleet fleet;
    private DaemonNode entry;
    private String key;

    @BeforeClass
    public void start() {
        fleet = Fleet.create().startPlatform();
        StandInNode engine = fleet.startEngine("engine-1", "--token-micros", "100000");
        DaemonNode side = fleet.startEngineSide("side-1", PLACE, engine, FleetStopTest::stopSoon);
        entry = fleet.startEntry("entry-1", PLACE, FleetStopTest::stopSoon);
        entry.awaitReady(Fleet.START_TIMEOUT);
        side.awaitReady(Fleet.START_TIMEOUT);
        try (OperatorClient operator = fleet.operator(entry)) {
            configure(operator);
            key = operator.issueKey("tailors");
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    /** Guards against accepted requests that a planned stop closes without an answer. */
    @Test(timeOut = 90_000)
    public void requestsThatOutlastAStopGetTheirFinalAnswer() throws Exception {
        CompletableFuture<Response> whole = complete(false).execute().toCompletableFuture();
        Events events = new Events();
        complete(true).execute(events);
        events.begun.get(WAIT_SECONDS, TimeUnit.SECONDS);
        entry.process().terminate();
        Response answer = whole.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(answer.getStatusCode(), 504, answer.getResponseBody());
        assertEquals(
                Json.parse(answer.getResponseBody()).path("error").path("code").asInt(), CODE_DEADLINE_PASSED);
        String text = events.ended.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(text.contains("event: error"), text);
        assertTrue(text.contains("\"code\":" + CODE_DEADLINE_PASSED), text);
        assertTrue(entry.process().awaitExit(STOP_TIMEOUT).isPresent());
    }

    /** Guards against a stop whose log ends at its beginning. */
    @Test(timeOut = 90_000, dependsOnMethods = "requestsThatOutlastAStopGetTheirFinalAnswer")
    public void requestsThatAStopEndsAreNamedInTheLog() {
        assertEquals(entry.process().awaitExit(STOP_TIMEOUT), Optional.of(EXIT_OK));
        String log = String.join("\n", entry.process().errors());
        assertTrue(log.contains("ended by the stop, selected engine-1"), log);
        assertTrue(log.contains("2 requests were ended by the stop"), log);
    }

    private BoundRequestBuilder complete(boolean streamed) {
        ObjectNode body = Json.object()
                .put("model", "quotes@1")
                .put("prompt", "silk")
                .put("max_tokens", 2_000)
                .put("ignore_eos", true)
                .put("stream", streamed);
        return fleet.http()
                .client()
                .preparePost(entry.callers() + "/v1/completions")
                .setRequestTimeout(Duration.ofSeconds(2 * WAIT_SECONDS))
                .setHeader("Authorization", "Bearer " + key)
                .setBody(body.toString());
    }

    private static ObjectNode stopSoon(ObjectNode settings) {
        ((ObjectNode) settings.path("control")).put("leaveDelayMillis", 100).put("drainTimeoutMillis", 500);
        return settings;
    }

    private static void configure(OperatorClient operator) {
        operator.apply(OperatorClient.creation(ItemKind.ITEM_KIND_ACCOUNT, "tailors")
                .setAccount(Account.newBuilder()
                        .setId("tailors")
                        .setTokensPerSecond(1_000)
                        .setBurstTokens(100_000)
                        .setWeight(1))
                .build());
        operator.apply(OperatorClient.creation(ItemKind.ITEM_KIND_ADAPTER, "quotes")
                .setAdapter(Adapter.newBuilder()
                        .setId("quotes")
                        .setBaseModel("base")
                        .setOwnerAccountId("tailors")
                        .addVersions("1")
                        .setCurrentVersion("1"))
                .build());
        operator.apply(OperatorClient.creation(ItemKind.ITEM_KIND_UPSTREAM, "engine-1")
                .setUpstream(Upstream.newBuilder()
                        .setId("engine-1")
                        .setKind(UpstreamKind.UPSTREAM_KIND_MODEL_ENGINE)
                        .setBaseModel("base")
                        .setChecksFencing(true))
                .build());
    }

    /** Collects a streamed answer up to its end, whole or not. */
    private static final class Events implements AsyncHandler<Void> {
        private final StringBuilder text = new StringBuilder();
        private final CompletableFuture<Void> begun = new CompletableFuture<>();
        private final CompletableFuture<String> ended = new CompletableFuture<>();

        @Override
        public State onStatusReceived(HttpResponseStatus status) {
            return State.CONTINUE;
        }

        @Override
        public State onHeadersReceived(HttpHeaders headers) {
            return State.CONTINUE;
        }

        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) {
            text.append(new String(part.getBodyPartBytes(), StandardCharsets.UTF_8));
            begun.complete(null);
            return State.CONTINUE;
        }

        @Override
        public void onThrowable(Throwable failure) {
            begun.completeExceptionally(failure);
            ended.complete(text.toString());
        }

        @Override
        public Void onCompleted() {
            ended.complete(text.toString());
            return null;
        }
    }
}
