package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.RequestKind;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A response whose status line is none is an answer that broke off: the request may have run, so that it is repeated
 * only where it may run twice; the upstream counts as having failed, and the connection is not used again.
 */
public class FaultyStatusLineTest extends ForwardingFixture {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String LOST = "502 " + ResultCode.UPSTREAM_LOST;
    private static final List<String> STATUS_LINES = List.of(
            "HTTP/1.1 000 x",
            "HTTP/1.1 000",
            "HTTP/1.1 0 x",
            "HTTP/1.1 001 x",
            "HTTP/1.1 099 x",
            "HTTP/1.1 20 x",
            "HTTP/1.1 600 x",
            "HTTP/1.1 999 x",
            "HTTP/1.1 2000 x",
            "HTTP/1.1 65736 x",
            "HTTP/1.1 2147483647 x",
            "HTTP/1.1 0200 x",
            "HTTP/1.1 +200 x",
            "HTTP/1.1 -200 x",
            "HTTP/1.1 abc x",
            "HTTP/9.9 200 OK",
            "ICY 200 OK");

    private final Set<Integer> connections = ConcurrentHashMap.newKeySet();

    @AfterMethod
    public void removeUpstreams() {
        Stream.of("a", "b").forEach(directory::remove);
        connections.clear();
    }

    @DataProvider
    public Object[][] kindsAndLines() {
        return Stream.of(RequestKind.ONCE, RequestKind.IDEMPOTENT, RequestKind.STREAM)
                .flatMap(kind -> STATUS_LINES.stream().map(line -> new Object[] {kind, line}))
                .toArray(Object[][]::new);
    }

    @DataProvider
    public Object[][] lines() {
        return STATUS_LINES.stream().map(line -> new Object[] {line}).toArray(Object[][]::new);
    }

    private static String response(String line) {
        return line + "\r\nid: 1\r\nContent-Length: 4\r\n\r\nfake";
    }

    /** Answers the first request by a faulty line, on a connection that stays open, and all others by sound ones. */
    private ScriptedUpstream.Script faultyFirst(String line) {
        AtomicInteger requests = new AtomicInteger();
        return (request, connection) -> {
            connections.add(connection.getPort());
            boolean isFirst = requests.getAndIncrement() == 0;
            ScriptedUpstream.write(connection, isFirst ? response(line) : okAnswer("sound"));
            return true;
        };
    }

    // Guards against a status that is none reaching a caller, as an answer of the upstream.
    @Test(dataProvider = "kindsAndLines")
    public void callerGetsNoSuchStatus(RequestKind kind, String line) throws Exception {
        configure(kind, false, 1, TIMEOUT);
        try (ScriptedUpstream one = new ScriptedUpstream(faultyFirst(line))) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), LOST);
            assertEquals(sendAndAwaitAnswer().replace("streamed ", ""), "200 sound");
            assertEquals(connections.size(), 2, "the connection was used again");
        }
    }

    // Guards against a second run of a request that may have run.
    @Test(dataProvider = "lines")
    public void requestThatMayRunOnceIsNotSentAgain(String line) throws Exception {
        configure(RequestKind.ONCE, false, 3, TIMEOUT);
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(response(line), true));
                ScriptedUpstream two = new ScriptedUpstream(respondWith(response(line), true))) {
            addUpstream("a", one.address());
            addUpstream("b", two.address());
            assertEquals(sendAndAwaitAnswer(), LOST);
            assertEquals(one.untakenRequestCount() + two.untakenRequestCount(), 1);
        }
    }

    // Guards against a promise that the request has not run, read from a response that is none.
    @Test
    public void refusalUnderSuchALineDoesNotCountAsNotRun() throws Exception {
        configure(RequestKind.ONCE, false, 3, TIMEOUT);
        String refusal = NOT_RUN_ANSWER.replace("HTTP/1.1 503", "HTTP/1.1 0503");
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(refusal, true))) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), LOST);
        }
    }

    // Guards against a repeat that is not made although it may be.
    @Test(dataProvider = "lines")
    public void requestThatMayRunTwiceGoesOnAtAnotherUpstream(String line) throws Exception {
        configure(RequestKind.IDEMPOTENT, false, 2, TIMEOUT);
        ScriptedUpstream.Script script = faultyFirst(line);
        try (ScriptedUpstream one = new ScriptedUpstream(script);
                ScriptedUpstream two = new ScriptedUpstream(script)) {
            addUpstream("a", one.address());
            addUpstream("b", two.address());
            assertEquals(sendAndAwaitAnswer(), "200 sound");
            assertFalse(one.untakenRequestCount() == 2 || two.untakenRequestCount() == 2, "sent to the same upstream");
        }
    }
}
