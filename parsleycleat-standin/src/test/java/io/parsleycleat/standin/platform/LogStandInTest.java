package io.parsleycleat.standin.platform;

import static io.parsleycleat.standin.HttpFixture.await;
import static io.parsleycleat.standin.HttpFixture.failureOf;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.platform.HttpLogClient;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.core.process.result.LogTrimmedException;
import io.parsleycleat.core.process.result.ParsleycleatException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.standin.HttpFixture;
import io.parsleycleat.standin.ManualTime;
import io.parsleycleat.standin.http.FaultMode;
import io.parsleycleat.standin.http.Faults;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LogStandInTest {
    private final ManualTime time = new ManualTime();
    private HttpFixture fixture;
    private LogStandIn log;
    private HttpLogClient client;

    @BeforeMethod
    public void start() {
        fixture = new HttpFixture();
        LogOptions options = LogOptions.DEFAULT.withRetentionRecords(5).withRetentionMillis(60_000);
        log = fixture.add(new LogStandIn(HttpFixture.freeAddress(), options, time));
        client = new HttpLogClient(fixture.http(), log.uri());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    @Test(timeOut = 30_000)
    public void recordsAreReadInTheOrderOfTheirOffsets() throws Exception {
        assertEquals((long) await(client.append("s", values("a", "b"))), 0L);
        assertEquals((long) await(client.append("s", values("c"))), 2L);
        LogPage page = await(client.read("s", 1, 10, Duration.ZERO));
        assertEquals(page.endOffset(), 3L);
        assertEquals(texts(page), List.of("b", "c"));
        assertEquals((long) await(client.append("other", values("x"))), 0L);
    }

    @Test(timeOut = 30_000)
    public void waitingReadIsAnsweredByTheNextAppend() throws Exception {
        CompletableFuture<LogPage> read = client.read("s", 0, 10, Duration.ofSeconds(30));
        fixture.getJson(log, "/control/streams");
        assertFalse(read.isDone());
        await(client.append("s", values("a")));
        assertEquals(texts(await(read)), List.of("a"));
    }

    @Test(timeOut = 30_000)
    public void retentionByCountAndByAgeTrimsTheOldest() throws Exception {
        await(client.append("s", values("a", "b", "c", "d", "e", "f", "g")));
        LogTrimmedException trimmed = (LogTrimmedException) failureOf(client.read("s", 0, 10, Duration.ZERO));
        assertEquals(trimmed.earliestOffset(), 2L);
        time.advance(Duration.ofMinutes(2));
        trimmed = (LogTrimmedException) failureOf(client.read("s", 2, 10, Duration.ZERO));
        assertEquals(trimmed.earliestOffset(), 7L);
        assertEquals((long) await(client.append("s", values("h"))), 7L);
    }

    @Test(timeOut = 30_000)
    public void appendWhoseAnswerIsLostTakesEffect() throws Exception {
        log.loseAnswers(1);
        ParsleycleatException lost = (ParsleycleatException) failureOf(client.append("s", values("a")));
        assertEquals(lost.code(), ResultCode.LOG_OUT);
        assertEquals(texts(await(client.read("s", 0, 10, Duration.ZERO))), List.of("a"));
        assertEquals((long) await(client.append("s", values("b"))), 1L);
        assertTrue(log.appends().all().get(0).answerLost());
    }

    @Test(timeOut = 30_000)
    public void outageRefusesWithoutEffectAndEnds() throws Exception {
        fixture.post(log, "/control/faults", "{\"mode\":\"refuse\"}");
        failureOf(client.append("s", values("a")));
        log.setFaults(Faults.of(FaultMode.CUT));
        failureOf(client.append("s", values("a")));
        log.setFaults(Faults.NONE);
        assertEquals((long) await(client.append("s", values("b"))), 0L);
    }

    @Test(timeOut = 30_000)
    public void appendsBeyondTheRateAreRefused() throws Exception {
        log.setAppendsPerSecond(0.01);
        List<CompletableFuture<Long>> appends = java.util.stream.IntStream.range(0, 41)
                .mapToObj(i -> client.append("s", values("a")))
                .toList();
        long refused = appends.stream().filter(LogStandInTest::isRefused).count();
        assertEquals(refused, 1L);
        time.advance(Duration.ofSeconds(101));
        await(client.append("s", values("b")));
    }

    private static boolean isRefused(CompletableFuture<Long> append) {
        try {
            await(append);
            return false;
        } catch (Exception e) {
            return true;
        }
    }

    private static List<ByteString> values(String... texts) {
        return java.util.Arrays.stream(texts).map(ByteString::copyFromUtf8).toList();
    }

    private static List<String> texts(LogPage page) {
        return page.entries().stream().map(e -> e.value().toStringUtf8()).toList();
    }
}
