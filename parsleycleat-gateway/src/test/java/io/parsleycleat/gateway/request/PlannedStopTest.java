package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.RunProgress;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards that a planned stop answers what was accepted, and accepts nothing that it cannot answer. */
public class PlannedStopTest extends ForwardingFixture {
    /** How many answers tell how long requests usually take. */
    private static final int EARLIER_REQUESTS = 8;

    private static final long ANSWER_LIMIT_SECONDS = 10;
    private static final String STREAM_START = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

    private ManualTimeSource time;
    private TestEntry timed;

    @BeforeMethod
    public void createEntry() {
        time = new ManualTimeSource();
        timed = new TestEntry("here", loop, time, freshnessTime, new InMemoryPeers());
    }

    private void configureTimed(RequestKind kind, Duration timeout, Duration objective) {
        timed.configure(kind, kind == RequestKind.STREAM, 1, timeout, objective, null);
    }

    private RecordingCaller sendTimed() {
        return timed.send("/p/x", List.of(Map.entry("key", "key")));
    }

    private static String answerOf(RecordingCaller caller) throws Exception {
        return caller.answer.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private void assertNothingOpen() throws Exception {
        loop.submit(() -> {}).get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(timed.forwarder.openRequests(), 0);
    }

    /** An upstream that sends some bytes and no more, and tells when its connection is closed. */
    private static ScriptedUpstream silentUpstream(String bytes, CompletableFuture<Boolean> closed) {
        return new ScriptedUpstream((request, connection) -> {
            ScriptedUpstream.write(connection, bytes);
            closed.complete(ScriptedUpstream.isClosedByClient(connection));
            return false;
        });
    }

    /** An upstream that answers when the test advances the time. */
    private static ScriptedUpstream answeringUpstream(Semaphore goOn) {
        return new ScriptedUpstream((request, connection) -> {
            goOn.acquireUninterruptibly();
            ScriptedUpstream.write(connection, okAnswer("done"));
            return true;
        });
    }

    private void answerAfter(ScriptedUpstream upstream, Semaphore goOn, Duration duration) throws Exception {
        for (int i = 0; i < EARLIER_REQUESTS; i++) {
            RecordingCaller caller = sendTimed();
            upstream.takeRequest();
            time.advanceMillis(duration.toMillis());
            goOn.release();
            assertEquals(answerOf(caller), "200 done");
            assertNothingOpen();
        }
    }

    /** Guards against a connection that ends without an answer when the process stops while an upstream works. */
    @Test
    public void requestThatMayHaveRunIsAnsweredAtTheEndOfTheStop() throws Exception {
        configureTimed(RequestKind.ONCE, Duration.ofSeconds(60), Duration.ofSeconds(1));
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        try (ScriptedUpstream one = silentUpstream("", closed)) {
            timed.directory.put(upstream("a", one.address()));
            RecordingCaller caller = sendTimed();
            one.takeRequest();
            timed.forwarder.beginStop(Duration.ofSeconds(5));
            timed.forwarder.endOpenRequests();
            assertEquals(answerOf(caller), "504 " + ResultCode.DEADLINE_PASSED);
            assertTrue(closed.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS));
            assertNothingOpen();
        }
    }

    /** Guards against a stream whose end looks whole, and one that keeps the stop waiting. */
    @Test
    public void streamThatHasBegunIsCutAtTheEndOfTheStop() throws Exception {
        configureTimed(RequestKind.STREAM, Duration.ofSeconds(60), Duration.ofSeconds(1));
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        try (ScriptedUpstream one = silentUpstream(STREAM_START + "f\r\nid: 1\ndata: a\n\n\r\n", closed)) {
            timed.directory.put(upstream("a", one.address()));
            FirstPartCaller caller = new FirstPartCaller();
            timed.send("/p/x", "key", caller);
            caller.firstPart.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS);
            timed.forwarder.beginStop(Duration.ofSeconds(5));
            timed.forwarder.endOpenRequests();
            assertEquals(answerOf(caller), "cut after id: 1;data: a;;");
            assertTrue(closed.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS));
            assertNothingOpen();
        }
    }

    /** Tells when the first part of the answer is written. */
    private static final class FirstPartCaller extends RecordingCaller {
        final CompletableFuture<Void> firstPart = new CompletableFuture<>();

        @Override
        public void write(com.google.protobuf.ByteString part, Runnable written) {
            super.write(part, written);
            firstPart.complete(null);
        }
    }

    /** Guards against a request that waits for its turn until it is too late for another entry to serve it. */
    @Test
    public void requestThatWaitsIsRefusedOnceItsTurnCannotComeInTime() throws Exception {
        SilentPeers peers = SilentPeers.limitAccount(timed, Duration.ofSeconds(60));
        RecordingCaller caller = sendTimed();
        peers.draws.take();
        timed.forwarder.beginStop(Duration.ofSeconds(15));
        loop.submit(() -> {}).get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(timed.forwarder.openRequests(), 1);
        time.advanceMillis(6_000);
        assertEquals(answerOf(caller), "503 " + ResultCode.PROCESS_STOPPING);
        assertNothingOpen();
    }

    /** Guards against a start that waits at its side until it is too late for another entry to serve the request. */
    @Test
    public void requestThatWaitsForAnEngineIsRefusedAndItsStartWithdrawn() throws Exception {
        InMemoryPeers network = new InMemoryPeers();
        BlockingQueue<GateMessage> atSide = new LinkedBlockingQueue<>();
        network.node("127.0.0.1:" + TestEntry.SIDE_PORT)
                .register(Frame.BodyCase.GATE, (from, frame) -> atSide.add(frame.getGate()));
        timed = new TestEntry("here", loop, time, freshnessTime, network);
        Duration minute = Duration.ofSeconds(60);
        timed.configure(RequestKind.STREAM, true, 2, minute, minute, TestEntry.ENGINE_SPEC);
        timed.directory.put(upstream("a", addressRefusingConnections()));
        RecordingCaller caller = timed.send("/p/x", List.of(Map.entry("key", "key"), Map.entry("adapter", "a")));
        assertTrue(atSide.take().hasStart());
        timed.forwarder.beginStop(Duration.ofSeconds(5));
        assertEquals(answerOf(caller), "503 " + ResultCode.PROCESS_STOPPING);
        assertEquals(atSide.take().getProgress().getStage(), RunProgress.Stage.WITHDRAWN);
        assertNothingOpen();
    }

    /** Guards against taking a request that lasts, as those before it did, beyond the end of the stop. */
    @Test
    public void requestThatCannotEndBeforeTheStopIsRefusedAtOnce() throws Exception {
        configureTimed(RequestKind.ONCE, Duration.ofSeconds(60), Duration.ofSeconds(1));
        Semaphore goOn = new Semaphore(0);
        try (ScriptedUpstream one = answeringUpstream(goOn)) {
            timed.directory.put(upstream("a", one.address()));
            answerAfter(one, goOn, Duration.ofSeconds(5));
            timed.forwarder.beginStop(Duration.ofSeconds(4));
            assertEquals(answerOf(sendTimed()), "503 " + ResultCode.PROCESS_STOPPING);
            assertEquals(one.untakenRequestCount(), 0);
        }
    }

    /** Guards against refusing what ends long before the stop, and against telling upstreams more time than is left. */
    @Test
    public void shortRequestIsServedDuringTheStopWithTheTimeThatIsLeft() throws Exception {
        configureTimed(RequestKind.ONCE, Duration.ofSeconds(60), Duration.ofSeconds(10));
        Semaphore goOn = new Semaphore(0);
        try (ScriptedUpstream one = answeringUpstream(goOn)) {
            timed.directory.put(upstream("a", one.address()));
            answerAfter(one, goOn, Duration.ofMillis(5));
            timed.forwarder.beginStop(Duration.ofSeconds(4));
            time.advanceMillis(1_000);
            goOn.release();
            assertEquals(answerOf(sendTimed()), "200 done");
            String sent = one.takeRequest();
            assertTrue(sent.contains("left: 3000"), sent);
        }
    }

    /** Guards against a stream that is taken without knowing how long it lasts. */
    @Test
    public void streamOfUnknownDurationIsRefusedIfItsTimeLimitIsBeyondTheStop() throws Exception {
        timed.configure(RequestKind.STREAM, false, 1, Duration.ofSeconds(60), Duration.ofMillis(100), null);
        timed.forwarder.beginStop(Duration.ofSeconds(4));
        assertEquals(answerOf(sendTimed()), "503 " + ResultCode.PROCESS_STOPPING);
        assertNothingOpen();
    }

    /** Guards against a refusal of a stream that its caller can continue at another entry. */
    @Test
    public void resumableStreamIsTakenDuringTheStopIfItCanBegin() throws Exception {
        configureTimed(RequestKind.STREAM, Duration.ofSeconds(60), Duration.ofMillis(100));
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(okAnswer("id: 1\ndata: a\n\n"), true))) {
            timed.directory.put(upstream("a", one.address()));
            timed.forwarder.beginStop(Duration.ofSeconds(4));
            assertEquals(answerOf(sendTimed()), "200 streamed id: 1;data: a;;");
            time.advanceMillis(3_950);
            assertEquals(answerOf(sendTimed()), "503 " + ResultCode.PROCESS_STOPPING);
        }
    }
}
