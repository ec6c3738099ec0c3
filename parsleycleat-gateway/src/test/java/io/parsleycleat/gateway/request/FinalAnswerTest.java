package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.request.limits.BudgetPeers;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.RunProgress;
import io.parsleycleat.wire.gate.StartGrant;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards that each request that was read ends with one final answer, whatever fails on its way. */
public class FinalAnswerTest extends ForwardingFixture {
    private static final long ANSWER_LIMIT_SECONDS = 10;

    private static String answerOf(RecordingCaller caller) throws Exception {
        return caller.answer.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private void assertNothingOpen() throws Exception {
        assertNothingOpen(entry);
    }

    /** Checks the count once what the event loop does at the moment is done. */
    private void assertNothingOpen(TestEntry at) throws Exception {
        loop.submit(() -> {}).get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(at.forwarder.openRequests(), 0);
    }

    @DataProvider
    Object[][] actions() {
        return new Object[][] {
            {"decode", ResultCode.FAILURE_BEFORE_RUN},
            {"select", ResultCode.FAILURE_BEFORE_RUN},
            {"encode", ResultCode.FAILURE_BEFORE_RUN},
            {"metadata", ResultCode.FAILURE_UNEXPECTED},
            {"headers", ResultCode.FAILURE_UNEXPECTED},
        };
    }

    /** Guards against a request without an answer, or one still counted as open, after an action on it has thrown. */
    @Test(dataProvider = "actions")
    public void actionThatThrowsEndsTheRequestWithAnError(String action, ResultCode expected) throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(60));
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(okAnswer("done"), true))) {
            addUpstream("a", one.address());
            entry.faults.throwAt(action);
            assertEquals(answerOf(send("/p/x", "key")), "500 " + expected);
            assertNothingOpen();
            entry.faults.throwAt("");
            assertEquals(answerOf(send("/p/x", "key")), "200 done");
            assertNothingOpen();
        }
    }

    /** Guards against a request without an answer, and a start kept at its side, after a fault behind the grant. */
    @Test
    public void faultBehindTheGrantOfASideEndsTheRequest() throws Exception {
        InMemoryPeers network = new InMemoryPeers();
        BlockingQueue<RunProgress> progress = new LinkedBlockingQueue<>();
        network.node("127.0.0.1:" + TestEntry.SIDE_PORT).register(Frame.BodyCase.GATE, (from, frame) -> {
            if (frame.getGate().hasStart()) {
                StartGrant grant = StartGrant.newBuilder()
                        .setEngineId("a")
                        .setEngineBorn(1)
                        .build();
                from.reply(
                        frame,
                        Frame.newBuilder().setGate(GateMessage.newBuilder().setGrant(grant)));
            } else {
                progress.add(frame.getGate().getProgress());
            }
        });
        TestEntry onEngines = new TestEntry("here", loop, TimeSource.SYSTEM, freshnessTime, network);
        Duration minute = Duration.ofSeconds(60);
        onEngines.configure(RequestKind.STREAM, true, 2, minute, minute, TestEntry.ENGINE_SPEC);
        onEngines.directory.put(upstream("a", addressRefusingConnections()));
        onEngines.faults.throwAt("encode");
        RecordingCaller caller = onEngines.send("/p/x", List.of(Map.entry("key", "key"), Map.entry("adapter", "a")));
        assertEquals(answerOf(caller), "500 " + ResultCode.FAILURE_BEFORE_RUN);
        assertEquals(progress.poll(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS).getStage(), RunProgress.Stage.ENDED);
        assertNothingOpen(onEngines);
    }

    /** Guards against a request without an answer after a fault behind the permit for a limited upstream. */
    @Test
    public void faultBehindAPermitEndsTheRequest() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(60));
        String answer = okAnswer("done").replace("id: 1", "id: 1\r\nlimit: 1000");
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(answer, true))) {
            addUpstream("a", one.address());
            assertEquals(answerOf(send("/p/x", "key")), "200 done");
            entry.faults.throwAt("encode");
            assertEquals(answerOf(send("/p/x", "key")), "500 " + ResultCode.FAILURE_BEFORE_RUN);
            assertNothingOpen();
        }
    }

    /** Guards against a request without an answer when the refusal itself cannot be encoded. */
    @Test
    public void refusalThatCannotBeEncodedIsReplacedByAnError() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(60));
        entry.faults.throwAt("refuse");
        String answer = answerOf(send("/p/x", null));
        assertTrue(answer.startsWith("500 "), answer);
        assertNothingOpen();
    }

    /** Guards against a cut that looks whole: the fault comes when a part of the stream has left. */
    @Test
    public void failureBehindTheFirstPartCutsTheAnswer() throws Exception {
        configure(RequestKind.STREAM, false, 1, Duration.ofSeconds(60));
        String start = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        CompletableFuture<Void> goOn = new CompletableFuture<>();
        try (ScriptedUpstream one = new ScriptedUpstream((request, connection) -> {
            ScriptedUpstream.write(connection, start);
            goOn.join();
            ScriptedUpstream.write(connection, "4\r\nrest\r\n0\r\n\r\n");
            return true;
        })) {
            addUpstream("a", one.address());
            FailingCaller caller = new FailingCaller();
            entry.send("/p/x", "key", caller);
            caller.firstPart.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS);
            goOn.complete(null);
            assertEquals(answerOf(caller), "cut after half");
            assertNothingOpen();
        }
    }

    /** Throws when the second part is written. */
    private static final class FailingCaller extends RecordingCaller {
        final CompletableFuture<Void> firstPart = new CompletableFuture<>();

        @Override
        public void write(ByteString part, Runnable written) {
            if (firstPart.isDone()) {
                throw new IllegalStateException("fault put into write");
            }
            super.write(part, written);
            firstPart.complete(null);
        }
    }

    /** Guards against a caller that waits on an open connection for an answer that could not be written. */
    @Test
    public void answerThatCannotBeWrittenClosesTheConnection() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(60));
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(okAnswer("done"), true))) {
            addUpstream("a", one.address());
            RecordingCaller caller = new RecordingCaller() {
                @Override
                public void respond(int status, List<Map.Entry<String, String>> headers, ByteString content) {
                    throw new IllegalStateException("fault put into respond");
                }
            };
            entry.send("/p/x", "key", caller);
            assertEquals(answerOf(caller), "cut after ");
            assertNothingOpen();
        }
    }

    /** Guards against a request that waits for ever because nobody decides on its budget. */
    @Test
    public void requestWhoseBudgetIsNeverDecidedEndsAtItsTimeLimitAsNotRun() throws Exception {
        SilentPeers.limitAccount(entry, Duration.ofMillis(200));
        assertEquals(answerOf(send("/p/x", "key")), "503 " + ResultCode.DEADLINE_UNREACHABLE);
        assertNothingOpen();
    }

    /** Guards against a request that stays open after its caller left while the budget was undecided. */
    @Test
    public void callerThatLeavesBeforeItsBudgetIsDecidedEndsTheRequest() throws Exception {
        SilentPeers peers = SilentPeers.limitAccount(entry, Duration.ofSeconds(60));
        RecordingCaller caller = send("/p/x", "key");
        CompletableFuture<BudgetPeers.Grant> draw = peers.draws.take();
        caller.goneAction.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS).run();
        assertNothingOpen();
        draw.complete(new BudgetPeers.Grant(1, 1));
        assertNothingOpen();
        // The refunded cost pays for the next request, for which nobody is asked.
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(okAnswer("done"), true))) {
            addUpstream("a", one.address());
            assertEquals(answerOf(send("/p/x", "key")), "200 done");
        }
    }

    @DataProvider
    public Object[][] deadlines() {
        return new Object[][] {{"none", "left: 5980"}, {"20000", "left: 15980"}, {"7000", "left: 2980"}};
    }

    /** Guards against handing an upstream more time than the caller has left after waiting for its budget. */
    @Test(dataProvider = "deadlines")
    public void timeSpentWaitingForTheBudgetIsNotHandedToTheUpstream(String deadline, String expected)
            throws Exception {
        ManualTimeSource time = new ManualTimeSource();
        TestEntry timed = new TestEntry("here", loop, time, freshnessTime, new InMemoryPeers());
        SilentPeers peers = SilentPeers.limitAccount(timed, Duration.ofSeconds(10));
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(okAnswer("done"), true))) {
            timed.directory.put(upstream("a", one.address()));
            RecordingCaller caller =
                    timed.send("/p/x", List.of(Map.entry("key", "key"), Map.entry("deadline", deadline)));
            CompletableFuture<BudgetPeers.Grant> draw = peers.draws.take();
            time.advanceMillis(4_000);
            draw.complete(new BudgetPeers.Grant(1, 1));
            assertEquals(answerOf(caller), "200 done");
            String sent = one.takeRequest();
            assertTrue(sent.contains(expected), sent);
        }
    }

    /** Guards against a request that stays open until its time limit since it cannot be written on a new connection. */
    @Test
    public void requestThatCannotBeEncodedIsRefusedBeforeItsTimeLimit() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(5));
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(okAnswer("done"), true))) {
            addUpstream("a", one.address());
            RecordingCaller caller = new RecordingCaller();
            forwarder.handle(
                    new CallerRequest("P T", "/p/x", List.of(Map.entry("key", "key")), ByteString.EMPTY), caller);
            assertEquals(caller.answer.join(), "503 " + ResultCode.UPSTREAM_UNREACHABLE);
        }
    }
}
