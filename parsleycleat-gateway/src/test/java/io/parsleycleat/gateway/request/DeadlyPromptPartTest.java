package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Sends requests of which some carry a prompt part that crashes every upstream that begins to answer them. */
public class DeadlyPromptPartTest extends ForwardingFixture {
    private static final int DEADLY_REQUESTS = 12;
    /** Five crashes may be needed to recognise the part, and three more requests may be under way. */
    private static final int MAX_DEADLY_REQUESTS_SENT = 8;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nid: 1\r\n";
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String WHOLE_ANSWER =
            HEAD + "Content-Length: " + FIRST_EVENT.length() + "\r\n\r\n" + FIRST_EVENT;
    private static final String BROKEN_ANSWER = HEAD + "Content-Length: 300\r\n\r\n" + FIRST_EVENT;
    private static final String ANSWER_ENDED_BY_CRASH = HEAD + "\r\n" + FIRST_EVENT;

    /** Guards against requests that differ but share a deadly prompt part crashing one upstream after another. */
    @Test
    public void differentRequestsWithOneDeadlyPartStopReachingUpstreams() throws Exception {
        assertDeadlyRequestsStopReachingUpstreams(BROKEN_ANSWER);
    }

    /** Guards against an answer that seems whole because the crash ended it clearing the part that caused the crash. */
    @Test
    public void answerThatEndsWithConnectionAtCrashDoesNotClearDeadlyPart() throws Exception {
        assertDeadlyRequestsStopReachingUpstreams(ANSWER_ENDED_BY_CRASH);
    }

    private void assertDeadlyRequestsStopReachingUpstreams(String answerOfCrashing) throws Exception {
        configure(RequestKind.STREAM, false, 1, Duration.ofSeconds(20));
        int sent = 0;
        for (int i = 1; i <= DEADLY_REQUESTS; i++) {
            String id = "engine-" + i;
            try (ScriptedUpstream engine = new ScriptedUpstream(script(answerOfCrashing))) {
                addUpstream(id, engine.address());
                assertEquals(
                        sendPromptAndAwaitAnswer("sound " + i, "first,sound-" + i),
                        "200 streamed id: 1;data: a;;",
                        "sound request " + i);
                sendPromptAndAwaitAnswer("deadly " + i, "first,deadly");
                sent += engine.untakenRequestCount() - 1;
                crash(id, engine);
            }
        }
        assertTrue(sent <= MAX_DEADLY_REQUESTS_SENT, sent + " requests with the deadly part reached upstreams");
    }

    private static ScriptedUpstream.Script script(String answerOfCrashing) {
        return (request, connection) -> {
            boolean deadly = request.contains("deadly");
            ScriptedUpstream.write(connection, deadly ? answerOfCrashing : WHOLE_ANSWER);
            return !deadly;
        };
    }

    /** Lets the entry learn that an upstream is gone, whether or not a request crashed it. */
    private void crash(String id, ScriptedUpstream engine) {
        CompletableFuture<Void> removed = new CompletableFuture<>();
        loop.execute(() -> {
            directory.remove(id);
            crashWatch.onUpstreamDown(new Upstream(id, "s", engine.address(), "here", 1, false, 8, Map.of()));
            removed.complete(null);
        });
        removed.join();
    }
}
