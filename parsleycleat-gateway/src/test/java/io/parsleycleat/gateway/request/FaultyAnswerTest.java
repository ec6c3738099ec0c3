package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against answers of faulty upstreams that are taken for something else than they are. */
public class FaultyAnswerTest extends ForwardingFixture {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String REFUSAL_WITHOUT_ID = "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String REFUSAL_WITH_OLD_ID = NOT_RUN_ANSWER.replace("id: 1", "id: 0");
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String FIRST_CHUNK = "f\r\nid: 1\ndata: a\n\n\r\n";
    private static final String LAST_CHUNKS = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
    private static final String WHOLE_STREAM = "200 streamed id: 1;data: a;;id: 2;data: b;;";

    // A refusal that was written for an earlier request

    @DataProvider
    public Object[][] staleRefusals() {
        return new Object[][] {
            {RequestKind.ONCE, REFUSAL_WITHOUT_ID},
            {RequestKind.ONCE, REFUSAL_WITH_OLD_ID},
            {RequestKind.STREAM, REFUSAL_WITHOUT_ID},
            {RequestKind.STREAM, REFUSAL_WITH_OLD_ID},
        };
    }

    /** Guards against a second copy of an earlier refusal being taken for the answer to a request that is running. */
    @Test(dataProvider = "staleRefusals")
    public void staleRefusalOnKeptConnectionDoesNotCountAsNotRun(RequestKind kind, String stale) throws Exception {
        configure(kind, false, 2, TIMEOUT);
        AtomicInteger requests = new AtomicInteger();
        CountDownLatch secondArrived = new CountDownLatch(1);
        CountDownLatch otherAdded = new CountDownLatch(1);
        ScriptedUpstream.Script script = (request, connection) -> {
            if (requests.getAndIncrement() == 0) {
                ScriptedUpstream.write(connection, okAnswer("first"));
                return true;
            }
            secondArrived.countDown();
            SilentUpstreamTest.await(otherAdded);
            ScriptedUpstream.write(connection, stale + okAnswer("second"));
            return true;
        };
        try (ScriptedUpstream one = new ScriptedUpstream(script);
                ScriptedUpstream two = new ScriptedUpstream(respondWith(okAnswer("again"), true))) {
            addUpstream("a", one.address());
            assertTrue(sendAndAwaitAnswer().endsWith("first"));
            RecordingCaller caller = send("/p/x", "key");
            secondArrived.await();
            directory.put(new Upstream("b", "s", two.address(), "there", 1, false, 1, Map.of()));
            otherAdded.countDown();
            assertEquals(caller.answer.join(), "502 " + ResultCode.UPSTREAM_LOST);
            assertEquals(one.untakenRequestCount() + two.untakenRequestCount(), 2);
        }
    }

    /** Guards against a copy that comes while no request is pending being read as the answer to the next one. */
    @Test
    public void staleRefusalBetweenRequestsEndsTheConnection() throws Exception {
        configure(RequestKind.ONCE, false, 1, TIMEOUT);
        ScriptedUpstream.Script script = (request, connection) -> {
            ScriptedUpstream.write(connection, okAnswer("done") + REFUSAL_WITHOUT_ID);
            return true;
        };
        try (ScriptedUpstream one = new ScriptedUpstream(script)) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), "200 done");
            assertEquals(sendAndAwaitAnswer(), "200 done");
        }
    }

    /** Guards against a sound refusal without an id not being understood on a connection that had no request before. */
    @Test
    public void refusalWithoutIdOnNewConnectionCountsAsNotRun() throws Exception {
        configure(RequestKind.ONCE, false, 1, TIMEOUT);
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(REFUSAL_WITHOUT_ID, false))) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), "503 " + ResultCode.UPSTREAM_REFUSED);
        }
    }

    // An answer other than a stream when a stream is resumed

    @DataProvider
    public Object[][] answersOnResumption() {
        String json = "Content-Type: application/json\r\n";
        return new Object[][] {
            {"error with a length", "HTTP/1.1 500 x\r\nid: 1\r\nContent-Length: 7\r\n\r\nid: 2\n\n"},
            {"error without a length", "HTTP/1.1 500 x\r\nid: 1\r\n\r\nid: 2\n\n"},
            {"error cut in its head", "HTTP/1.1 500 x\r\nid: 1\r\nContent-Le"},
            {"refusal", NOT_RUN_ANSWER},
            {"stream with a status that is none", STREAM_HEAD.replace("200", "0200") + LAST_CHUNKS},
            {"stream of another version", STREAM_HEAD.replace("HTTP/1.1", "HTTP/9.9") + LAST_CHUNKS},
            {"stream with a length too", STREAM_HEAD.replace("id: 1", "id: 1\r\nContent-Length: 9") + LAST_CHUNKS},
            {"bytes that are no answer", "id: 2\ndata: x\n\n"},
            {"empty success", "HTTP/1.1 204 No Content\r\nid: 1\r\n\r\n"},
            {"success that is no stream", "HTTP/1.1 200 OK\r\nid: 1\r\n" + json + "Content-Length: 2\r\n\r\n{}"},
            {
                "success with blank lines that is no stream",
                "HTTP/1.1 200 OK\r\nid: 1\r\n" + json + "Content-Length: 4\r\n\r\n{}\n\n"
            },
            {"other success", "HTTP/1.1 202 x\r\nid: 1\r\nContent-Length: 4\r\n\r\nok\n\n"},
        };
    }

    /** Guards against the text of an error in the middle of a stream, and against its end that looks complete. */
    @Test(dataProvider = "answersOnResumption")
    public void answerThatIsNoStreamDoesNotContinueOne(String what, String answer) throws Exception {
        assertEquals(resumeWith(answer, false), "cut after id: 1;data: a;;", what);
    }

    @Test(dataProvider = "answersOnResumption")
    public void streamContinuesAtAnotherUpstreamAfterSuchAnAnswer(String what, String answer) throws Exception {
        assertEquals(resumeWith(answer, true), WHOLE_STREAM, what);
    }

    /** Guards against events that come twice because the next upstream begins with some that the caller has. */
    @Test
    public void eventsThatTheCallerHasAreNotPassedOnAgain() throws Exception {
        assertEquals(resumeWith(STREAM_HEAD + FIRST_CHUNK + LAST_CHUNKS, false), WHOLE_STREAM);
    }

    /** Breaks a stream off after its first event, and lets the next upstream answer; a third one can go on with it. */
    private String resumeWith(String answer, boolean isThirdThere) throws Exception {
        configure(RequestKind.STREAM, true, isThirdThere ? 3 : 2, TIMEOUT);
        AtomicInteger requests = new AtomicInteger();
        ScriptedUpstream.Script script = (request, connection) -> {
            switch (requests.getAndIncrement()) {
                case 0 -> ScriptedUpstream.write(connection, STREAM_HEAD + FIRST_CHUNK);
                case 1 -> ScriptedUpstream.write(connection, answer);
                default -> ScriptedUpstream.write(connection, STREAM_HEAD + LAST_CHUNKS);
            }
            return false;
        };
        try (ScriptedUpstream one = new ScriptedUpstream(script);
                ScriptedUpstream two = new ScriptedUpstream(script);
                ScriptedUpstream three = new ScriptedUpstream(script)) {
            addUpstream("a", one.address());
            addUpstream("b", two.address());
            if (isThirdThere) {
                addUpstream("c", three.address());
            }
            return sendAndAwaitAnswer();
        } finally {
            directory.remove("a");
            directory.remove("b");
            directory.remove("c");
        }
    }

    // An answer whose head is cut short

    @DataProvider
    public Object[][] headsToCut() {
        String length = "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 4\r\n\r\n";
        String chunked = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        String unframed = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n";
        return new Object[][] {
            {RequestKind.ONCE, length}, {RequestKind.ONCE, chunked}, {RequestKind.ONCE, unframed},
            {RequestKind.STREAM, length}, {RequestKind.STREAM, chunked}, {RequestKind.STREAM, unframed},
            {RequestKind.IDEMPOTENT, length}, {RequestKind.IDEMPOTENT, chunked}, {RequestKind.IDEMPOTENT, unframed},
        };
    }

    /** Guards against an empty answer that looks whole after an upstream stopped in the middle of a head. */
    @Test(dataProvider = "headsToCut")
    public void headCutAtAnyByteIsNoAnswer(RequestKind kind, String head) throws Exception {
        configure(kind, false, 1, TIMEOUT);
        for (boolean isReset : new boolean[] {false, true}) {
            for (int length : IntStream.range(0, head.length()).toArray()) {
                ScriptedUpstream.Script script = (request, connection) -> {
                    ScriptedUpstream.write(connection, head.substring(0, length));
                    resetOnClose(connection, isReset);
                    return false;
                };
                try (ScriptedUpstream one = new ScriptedUpstream(script)) {
                    String id = "cut-" + isReset + length;
                    addUpstream(id, one.address());
                    String answer = sendPromptAndAwaitAnswer(id, "part-" + id);
                    assertEquals(answer, "502 " + ResultCode.UPSTREAM_LOST, "after " + length + " bytes");
                    directory.remove(id);
                }
            }
        }
    }

    private static void resetOnClose(Socket connection, boolean isReset) throws java.io.IOException {
        if (isReset) {
            connection.setSoLinger(true, 0);
        }
    }
}
