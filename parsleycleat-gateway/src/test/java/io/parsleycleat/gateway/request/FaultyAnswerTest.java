package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against answers of faulty upstreams that are taken for something else than they are. */
public class FaultyAnswerTest extends ForwardingFixture {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String REFUSAL_WITHOUT_ID = "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String REFUSAL_WITH_OLD_ID = NOT_RUN_ANSWER.replace("id: 1", "id: 0");

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
        ScriptedUpstream.Script script = (request, connection) -> {
            boolean first = requests.getAndIncrement() == 0;
            ScriptedUpstream.write(connection, first ? okAnswer("first") : stale + okAnswer("second"));
            return true;
        };
        try (ScriptedUpstream one = new ScriptedUpstream(script);
                ScriptedUpstream two = new ScriptedUpstream(respondWith(okAnswer("again"), true))) {
            addUpstream("a", one.address());
            assertTrue(sendAndAwaitAnswer().endsWith("first"));
            directory.put(new Upstream("b", "s", two.address(), "there", 1, false, 1, Map.of()));
            assertEquals(sendAndAwaitAnswer(), "502 " + ResultCode.UPSTREAM_LOST);
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
}
