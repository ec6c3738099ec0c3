package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.EngineSpec;
import io.parsleycleat.gateway.version.routes.ModelSpec;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.RunProgress;
import io.parsleycleat.wire.gate.StartGrant;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards streams at a model engine that falls silent for a while, and the starts that sides grant for them. */
public class SilentEngineStreamTest extends ForwardingFixture {
    private static final EngineSpec ENGINE_SPEC =
            new EngineSpec(64, 200_000, 1_100, 3, 3, 2, List.of(new ModelSpec("m", 1_000, 10, Duration.ofMillis(700))));
    private static final String STREAM_START =
            "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 30\r\n\r\nid: 1\ndata: a\n\n";
    private static final String STREAM_REST =
            "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 15\r\n\r\nid: 2\ndata: b\n\n";
    private static final String LAST_EVENT = "id: 2\ndata: b\n\n";
    private static final String WHOLE_STREAM = "200 streamed id: 1;data: a;;id: 2;data: b;;";

    private final BlockingQueue<StartQuestion> starts = new LinkedBlockingQueue<>();
    private final BlockingQueue<RunProgress> progress = new LinkedBlockingQueue<>();

    /** A start that an entry has asked the engines' sides for. */
    private record StartQuestion(PeerChannel from, Frame frame) {
        void grant(String engineId) {
            reply(StartGrant.newBuilder().setEngineId(engineId).setEngineBorn(1).setVersion(1));
        }

        void refuse() {
            reply(StartGrant.newBuilder().setRefusalCode(ResultCode.QUEUE_FULL.number()));
        }

        long ticket() {
            return frame.getGate().getStart().getTicket();
        }

        private void reply(StartGrant.Builder grant) {
            from.reply(
                    frame, Frame.newBuilder().setGate(GateMessage.newBuilder().setGrant(grant)));
        }
    }

    @BeforeMethod
    public void startSides() {
        starts.clear();
        progress.clear();
        network.node("127.0.0.1:" + TestEntry.SIDE_PORT).register(Frame.BodyCase.GATE, (from, frame) -> {
            if (frame.getGate().hasStart()) {
                starts.add(new StartQuestion(from, frame));
            } else {
                progress.add(frame.getGate().getProgress());
            }
        });
        entry.configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20), Duration.ofSeconds(10), ENGINE_SPEC);
    }

    private void addEngine(String id, ScriptedUpstream engine) {
        directory.put(new Upstream(id, "s", engine.address(), "here", 1, false, 8, Map.of("m", 1L, "m/a", 1L)));
    }

    private RecordingCaller sendToAdapter() {
        return entry.send("/p/x", List.of(Map.entry("key", "key"), Map.entry("adapter", "a")));
    }

    /** Sends a request to a first engine, whose side grants the start, and makes a second one known. */
    private RecordingCaller startOnFirst(ScriptedUpstream one, ScriptedUpstream two) throws InterruptedException {
        addEngine("a", one);
        RecordingCaller caller = sendToAdapter();
        starts.take().grant("a");
        one.takeRequest();
        addEngine("b", two);
        return caller;
    }

    private static ScriptedUpstream.Script silentUntil(CountDownLatch moment) {
        return (request, connection) -> {
            ScriptedUpstream.write(connection, STREAM_START);
            try {
                moment.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            ScriptedUpstream.write(connection, LAST_EVENT);
            return true;
        };
    }

    /** Guards against a stream that is cut while its engine is silent, since no side grants another start. */
    @Test
    public void streamOfSilentEngineIsNotCutWhenSidesRefuse() throws Exception {
        CountDownLatch refused = new CountDownLatch(1);
        try (ScriptedUpstream one = new ScriptedUpstream(silentUntil(refused));
                ScriptedUpstream two = new ScriptedUpstream(respondWith("", false))) {
            RecordingCaller caller = startOnFirst(one, two);
            starts.take().refuse();
            refused.countDown();
            assertEquals(caller.answer.join(), WHOLE_STREAM);
            assertEquals(two.untakenRequestCount(), 0);
        }
    }

    /** Guards against a granted start that nobody uses or gives back once the silent engine has gone on. */
    @Test
    public void startIsGivenBackWhenSilentEngineGoesOn() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        try (ScriptedUpstream one = new ScriptedUpstream(silentUntil(asked));
                ScriptedUpstream two = new ScriptedUpstream(respondWith("", false))) {
            RecordingCaller caller = startOnFirst(one, two);
            StartQuestion second = starts.take();
            asked.countDown();
            assertEquals(caller.answer.join(), WHOLE_STREAM);
            second.grant("b");
            assertEquals(lastStage(second.ticket()), RunProgress.Stage.ENDED);
            assertEquals(two.untakenRequestCount(), 0);
        }
    }

    /** Guards against a start that nobody gives back, and a lost stream, when the hedged send cannot be encoded. */
    @Test(timeOut = 20_000)
    public void startIsGivenBackAndStreamGoesOnWhenTheSecondSendFailsUnexpectedly() throws Exception {
        CountDownLatch failed = new CountDownLatch(1);
        try (ScriptedUpstream one = new ScriptedUpstream(silentUntil(failed));
                ScriptedUpstream two = new ScriptedUpstream(respondWith("", false))) {
            RecordingCaller caller = startOnFirst(one, two);
            StartQuestion second = starts.take();
            entry.faults.throwAt("encode");
            second.grant("b");
            assertEquals(lastStage(second.ticket()), RunProgress.Stage.ENDED);
            failed.countDown();
            assertEquals(caller.answer.join(), WHOLE_STREAM);
            assertEquals(entry.openRequests("b"), 0);
        }
    }

    /** Guards against a repeat that counts for the retry budget although no engine has taken the request. */
    @Test
    public void repeatThatNoEngineTakesIsGivenBack() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(STREAM_START, false));
                ScriptedUpstream two = new ScriptedUpstream(respondWith("", false))) {
            addEngine("a", one);
            RecordingCaller caller = sendToAdapter();
            StartQuestion first = starts.take();
            addEngine("b", two);
            first.grant("a");
            starts.take().refuse();
            assertEquals(caller.answer.join(), "cut after id: 1;data: a;;");
            assertEquals(repeatsLeft(), "7.5 repeats left, 0 reserved");
        }
    }

    /** Guards against a repeat that does not count for the retry budget, or counts twice. */
    @Test
    public void repeatThatIsSentCountsOnce() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(STREAM_START, false));
                ScriptedUpstream two = new ScriptedUpstream(respondWith(STREAM_REST, true))) {
            addEngine("a", one);
            RecordingCaller caller = sendToAdapter();
            StartQuestion first = starts.take();
            addEngine("b", two);
            first.grant("a");
            starts.take().grant("b");
            assertEquals(caller.answer.join(), WHOLE_STREAM);
            assertEquals(repeatsLeft(), "6.5 repeats left, 0 reserved");
        }
    }

    /** Returns the state of the retry budget once the events so far are handled. */
    private String repeatsLeft() {
        loop.submit(() -> {}).syncUninterruptibly();
        return entry.retryShare.describe("s").split(", \\d+ requests")[0];
    }

    /** Returns the stage with which a start ended. */
    private RunProgress.Stage lastStage(long ticket) throws InterruptedException {
        RunProgress next = progress.take();
        while (next.getTicket() != ticket || next.getStage() == RunProgress.Stage.WITHDRAWN) {
            next = progress.take();
        }
        return next.getStage();
    }
}
