package io.parsleycleat.standin.upstream;

import static io.parsleycleat.standin.HttpFixture.await;
import static io.parsleycleat.standin.HttpFixture.failureOf;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.connection.upstream.EngineRun;
import io.parsleycleat.core.connection.upstream.EngineState;
import io.parsleycleat.core.connection.upstream.HttpModelEngine;
import io.parsleycleat.core.process.result.ParsleycleatException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.standin.HttpFixture;
import io.parsleycleat.standin.platform.WeightStoreOptions;
import io.parsleycleat.standin.platform.WeightStoreStandIn;
import io.parsleycleat.standin.upstream.EngineEvent.Kind;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ModelEngineStandInTest {
    private static final AdapterVersion ADAPTER = new AdapterVersion("quotes", "3");
    private static final AdapterVersion OTHER = new AdapterVersion("quotes", "4");
    private static final EngineTiming QUICK =
            EngineTiming.DEFAULT.withTokenInterval(Duration.ofMillis(1)).withPrefillPerToken(Duration.ZERO);
    private static final EngineOptions OPTIONS = EngineOptions.DEFAULT
            .withTiming(QUICK)
            .withSlots(2)
            .withBatchSize(2)
            .withLoads(Duration.ofMillis(1), null);

    private HttpFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new HttpFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    @Test(timeOut = 30_000)
    public void answerIsWholeAndTellsAdapterVersionAndPrompt() throws Exception {
        ModelEngineStandIn engine = engine(OPTIONS);
        HttpModelEngine client = client(engine);
        await(client.load(ADAPTER, 1));
        await(client.load(OTHER, 1));
        AnswerProbe probe = new AnswerProbe();
        client.run(run("r1", ADAPTER, "silk buttons", 9, 0), probe);
        assertEquals(await(probe.end), "length 9");
        assertEquals(String.join("", probe.tokens), EngineTokens.answer("quotes@3", "silk buttons", 9));
        assertNotEquals(String.join("", probe.tokens), EngineTokens.answer("quotes@4", "silk buttons", 9));
        assertEquals(probe.indexes, LongStream.range(0, 9).boxed().toList());
        EngineEvent seen = engine.events().all().stream()
                .filter(e -> e.kind() == Kind.RUN)
                .findFirst()
                .orElseThrow();
        assertEquals(seen.model(), "quotes@3");
        assertTrue(seen.headers().stream().anyMatch(h -> h.value().contains("parsleycleat")));
    }

    @Test(timeOut = 30_000)
    public void runsOnAnAdapterThatIsNotLoadedAreRefused() throws Exception {
        ModelEngineStandIn engine = engine(OPTIONS);
        AnswerProbe probe = new AnswerProbe();
        client(engine).run(run("r1", ADAPTER, "p", 4, 0), probe);
        assertEquals(code(probe.end), ResultCode.UPSTREAM_REFUSED);
    }

    @Test(timeOut = 30_000)
    public void slotsAreLimitedAndUnloadInUseIsAViolation() throws Exception {
        ModelEngineStandIn engine = engine(OPTIONS.withSlots(1));
        HttpModelEngine client = client(engine);
        await(client.load(ADAPTER, 1));
        assertEquals(code(client.load(OTHER, 1)), ResultCode.LOAD_FAILED);
        AnswerProbe probe = new AnswerProbe();
        client.run(run("r1", ADAPTER, "p", 100_000, 0), probe);
        await(probe.firstToken);
        await(client.unload(ADAPTER, 1));
        assertEquals(code(probe.end), ResultCode.UPSTREAM_LOST);
        assertEquals(count(engine, Kind.VIOLATION), 1);
        await(client.load(OTHER, 1));
        assertEquals(engine.loaded(), Set.of("quotes@4"));
    }

    @Test(timeOut = 30_000)
    public void oldFencingNumbersAreRefusedOrObeyedAsSet() throws Exception {
        ModelEngineStandIn checking = engine(OPTIONS);
        await(client(checking).load(ADAPTER, 7));
        assertEquals(code(client(checking).load(OTHER, 6)), ResultCode.ORDER_FENCED);
        ModelEngineStandIn ignoring = engine(OPTIONS.withFencingChecked(false));
        await(client(ignoring).load(ADAPTER, 7));
        await(client(ignoring).load(OTHER, 6));
        assertEquals(count(ignoring, Kind.VIOLATION), 1);
    }

    @Test(timeOut = 30_000)
    public void runIsResumedWithoutGapOrRepeat() throws Exception {
        ModelEngineStandIn engine = engine(OPTIONS);
        HttpModelEngine client = client(engine);
        await(client.load(ADAPTER, 1));
        AnswerProbe first = new AnswerProbe();
        AnswerProbe rest = new AnswerProbe();
        var handle = client.run(run("r1", ADAPTER, "p", 300, 0), first);
        await(first.firstToken);
        handle.detach();
        client.resume("r1", 5, rest);
        assertEquals(await(rest.end), "length 300");
        assertEquals(rest.indexes, LongStream.range(5, 300).boxed().toList());
    }

    @Test(timeOut = 30_000)
    public void waitingRunsJoinTheBatchByPriority() throws Exception {
        ModelEngineStandIn engine = engine(OPTIONS.withBatchSize(1));
        HttpModelEngine client = client(engine);
        await(client.load(ADAPTER, 1));
        AnswerProbe occupying = new AnswerProbe();
        client.run(run("r0", ADAPTER, "p", 100_000, 0), occupying);
        await(occupying.firstToken);
        AnswerProbe free = new AnswerProbe();
        AnswerProbe paying = new AnswerProbe();
        client.run(run("free", ADAPTER, "p", 2_000, EngineRun.PRIORITY_FREE), free);
        awaitWaiting(client, 1);
        client.run(run("paying", ADAPTER, "p", 10, EngineRun.PRIORITY_PAYING), paying);
        awaitWaiting(client, 2);
        await(client.cancel("r0"));
        assertTrue(await(occupying.end).startsWith("cancelled"));
        await(paying.end);
        assertTrue(!free.end.isDone());
    }

    @Test(timeOut = 30_000)
    public void markedRequestCrashesTheEngineWhichComesBackEmpty() throws Exception {
        ModelEngineStandIn engine = engine(OPTIONS);
        HttpModelEngine client = client(engine);
        await(client.load(ADAPTER, 1));
        String before = engine.incarnation();
        AnswerProbe neighbour = new AnswerProbe();
        AnswerProbe crashing = new AnswerProbe();
        client.run(run("r1", ADAPTER, "p", 100_000, 0), neighbour);
        await(neighbour.firstToken);
        client.run(run("r2", ADAPTER, "crash-this-engine", 10, 0), crashing);
        assertEquals(code(neighbour.end), ResultCode.UPSTREAM_LOST);
        assertEquals(code(crashing.end), ResultCode.UPSTREAM_LOST);
        EngineState state = awaitState(client);
        assertNotEquals(state.incarnation(), before);
        assertEquals(state.loaded(), Set.of());
        AnswerProbe lost = new AnswerProbe();
        client.resume("r1", 1, lost);
        assertEquals(code(lost.end), ResultCode.UPSTREAM_LOST);
    }

    @Test(timeOut = 30_000)
    public void loadsFetchFromTheWeightStoreAndFailWithIt() throws Exception {
        WeightStoreStandIn store = fixture.add(new WeightStoreStandIn(
                HttpFixture.freeAddress(),
                WeightStoreOptions.DEFAULT.withTransitTime(Duration.ofMillis(1)),
                TimeSource.SYSTEM));
        ModelEngineStandIn engine = engine(OPTIONS.withLoads(Duration.ZERO, store.uri()));
        HttpModelEngine client = client(engine);
        await(client.load(ADAPTER, 1));
        store.failNext(1);
        assertEquals(code(client.load(OTHER, 1)), ResultCode.LOAD_FAILED);
        assertEquals(store.loads().all().stream().map(l -> l.adapter()).toList(), List.of("quotes@3", "quotes@4"));
        assertEquals(await(client.state()).loaded(), Set.of(ADAPTER));
    }

    @Test(timeOut = 60_000)
    public void reportsAndLoadsAtOnceDoNotBlockEachOther() throws Exception {
        ModelEngineStandIn engine = engine(OPTIONS.withLoads(Duration.ZERO, null));
        HttpModelEngine client = client(engine);
        for (int i = 0; i < 200; i++) {
            List<CompletableFuture<?>> calls = List.of(
                    client.load(ADAPTER, 1),
                    client.state(),
                    client.load(OTHER, 1),
                    client.state(),
                    client.state(),
                    client.state());
            await(CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)));
            await(client.unload(ADAPTER, 1));
            await(client.unload(OTHER, 1));
        }
        assertEquals(engine.loaded(), Set.of());
    }

    @Test
    public void prefixCacheKeepsTheMostRecentBlocks() {
        PrefixCache cache = new PrefixCache(4, e -> {});
        String long3 = "a".repeat(64) + "b".repeat(64) + "c".repeat(64);
        assertEquals(cache.admit("m@1", long3), 0);
        assertEquals(cache.admit("m@1", long3), 48);
        assertEquals(cache.admit("m@2", long3.substring(0, 128)), 0);
        assertEquals(cache.admit("m@1", long3), 0);
    }

    private ModelEngineStandIn engine(EngineOptions options) {
        return fixture.add(new ModelEngineStandIn(HttpFixture.freeAddress(), options, 1_000, TimeSource.SYSTEM));
    }

    private HttpModelEngine client(ModelEngineStandIn engine) {
        return new HttpModelEngine(fixture.http(), engine.uri(), Duration.ofSeconds(30));
    }

    private static EngineRun run(String id, AdapterVersion adapter, String prompt, int tokens, int priority) {
        String body = "{\"ignore_eos\":true,\"prompt\":\"" + prompt + "\"}";
        return new EngineRun(id, adapter, false, body, tokens, priority);
    }

    private static void awaitWaiting(HttpModelEngine client, int waiting) throws Exception {
        while (await(client.state()).waiting() != waiting) {
            Thread.onSpinWait();
        }
    }

    private static EngineState awaitState(HttpModelEngine client) throws Exception {
        while (true) {
            try {
                return await(client.state());
            } catch (java.util.concurrent.ExecutionException e) {
                Thread.onSpinWait();
            }
        }
    }

    private static ResultCode code(CompletableFuture<?> future) throws Exception {
        return ((ParsleycleatException) failureOf(future)).code();
    }

    private static long count(ModelEngineStandIn engine, Kind kind) {
        return engine.events().all().stream().filter(e -> e.kind() == kind).count();
    }
}
