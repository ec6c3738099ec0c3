package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** No way in which the server closes a connection leaves a request without an answer. */
public class CallerConnectionCloseTest extends CallerServerFixture {
    private static final Duration SHORT_IDLE = Duration.ofMillis(100);
    private static final Duration LONG_IDLE = Duration.ofSeconds(60);
    private static final Duration SHORT_READ_TIMEOUT = Duration.ofMillis(200);
    private static final Duration LONG_READ_TIMEOUT = Duration.ofSeconds(20);
    /** More than the short idle timeout and the time by which a connection is closed later. */
    private static final long AFTER_SHORT_IDLE_MILLIS = 1_500;

    private final BlockingQueue<CallerExchange> held = new LinkedBlockingQueue<>();
    private final List<String> handled = Collections.synchronizedList(new ArrayList<>());
    private volatile CallerLimits limits = CallerLimits.DEFAULT;

    @BeforeMethod
    public void listen() {
        limits = new CallerLimits(512, 100_000, 2, LONG_READ_TIMEOUT, LONG_IDLE);
        held.clear();
        handled.clear();
        listen(() -> limits, this::handle);
    }

    private void handle(CallerRequest request, CallerExchange exchange) {
        handled.add(request.uri());
        if (request.uri().startsWith("/held")) {
            held.add(exchange);
        } else {
            exchange.respond(200, List.of(), ByteString.copyFromUtf8("[" + request.uri() + "]"));
        }
    }

    // Heads that are partly read

    // Guards against the idle timeout closing a connection on which a request has begun to arrive.
    @Test
    public void idleTimeoutSparesAPartlyReadHead() throws Exception {
        limits = limits.withTimeouts(LONG_READ_TIMEOUT, SHORT_IDLE);
        try (CallerSocket kept = new CallerSocket(port);
                CallerSocket fresh = new CallerSocket(port)) {
            kept.send(CallerSocket.get("/a")).answer();
            kept.send("GET /b HTTP/1.1\r\nho");
            fresh.send("GET /c HT");
            loop.next()
                    .schedule(() -> {}, AFTER_SHORT_IDLE_MILLIS, TimeUnit.MILLISECONDS)
                    .get();
            assertTrue(kept.send("st: a\r\n\r\n").answer().endsWith("[/b]"));
            assertTrue(fresh.send("TP/1.1\r\nhost: a\r\n\r\n").answer().endsWith("[/c]"));
        }
    }

    // Guards against a head that does not arrive as a whole and is met with silence.
    @Test
    public void headThatDoesNotArriveIsRefused() throws Exception {
        limits = limits.withTimeouts(SHORT_READ_TIMEOUT, LONG_IDLE);
        try (CallerSocket caller = new CallerSocket(port)) {
            String answer = caller.send("GET /a HTTP/1.1\r\nho").answer();
            assertTrue(answer.startsWith("HTTP/1.1 408 "), answer);
            assertEquals(caller.rest(), "");
        }
    }

    // Guards against empty lines behind a request being taken for the start of another.
    @Test
    public void emptyLinesAreNoRequest() throws Exception {
        limits = limits.withTimeouts(SHORT_READ_TIMEOUT, LONG_IDLE);
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/a")).answer();
            caller.send("\r\n");
            loop.next()
                    .schedule(() -> {}, AFTER_SHORT_IDLE_MILLIS, TimeUnit.MILLISECONDS)
                    .get();
            assertTrue(caller.send(CallerSocket.get("/b")).answer().endsWith("[/b]"));
        }
    }

    // Guards against a new connection taking the place of one on which a request has begun to arrive.
    @Test
    public void partlyReadHeadDoesNotMakeRoom() throws Exception {
        try (CallerSocket partly = new CallerSocket(port);
                CallerSocket other = new CallerSocket(port)) {
            partly.send(CallerSocket.get("/a")).answer();
            partly.send("GET /b HTTP/1.1\r\nho");
            other.send(CallerSocket.get("/c")).answer();
            other.send(CallerSocket.get("/held"));
            assertNotNull(held.poll(20, TimeUnit.SECONDS));
            try (CallerSocket third = new CallerSocket(port)) {
                assertTrue(third.send(CallerSocket.get("/d")).answer().startsWith("HTTP/1.1 503 "));
            }
            assertTrue(partly.send("st: a\r\n\r\n").answer().endsWith("[/b]"));
        }
    }

    // Guards against the end of a stop closing a connection on which a request has begun to arrive.
    @Test
    public void closingIdleConnectionsSparesAPartlyReadHead() throws Exception {
        try (CallerSocket partly = new CallerSocket(port);
                CallerSocket idle = new CallerSocket(port)) {
            partly.send(CallerSocket.get("/a")).answer();
            partly.send("GET /b HTTP/1.1\r\nho");
            idle.send(CallerSocket.get("/c")).answer();
            idle.send(CallerSocket.get("/c")).answer();
            server.drain();
            // What the loop does once an answer has left follows the answer.
            loop.submit(() -> {}).get();
            server.closeIdle();
            assertEquals(idle.rest(), "");
            String answer = partly.send("st: a\r\n\r\n").answer();
            assertTrue(answer.contains("connection: close\r\n") && answer.endsWith("[/b]"), answer);
            assertEquals(partly.rest(), "");
        }
    }

    // Requests behind others

    // Guards against a running answer being cut because much was sent behind its request.
    @Test
    public void anyNumberOfRequestsBehindARunningOneIsAnswered() throws Exception {
        int count = 3_000;
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/held"));
            CallerExchange first = held.poll(20, TimeUnit.SECONDS);
            StringBuilder behind = new StringBuilder();
            for (int i = 0; i < count; i++) {
                behind.append(CallerSocket.get("/" + i));
            }
            caller.send(behind.toString());
            awaitRead();
            first.respond(200, List.of(), ByteString.copyFromUtf8("first"));
            assertTrue(caller.answer().endsWith("first"));
            for (int i = 0; i < count; i++) {
                assertTrue(caller.answer().endsWith("[/" + i + "]"));
            }
        }
    }

    // Guards against requests that were read before a stop and are dropped behind the first answer.
    @Test
    public void requestsReadBeforeACloseIsAnnouncedAreAnswered() throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/held"));
            CallerExchange first = held.poll(20, TimeUnit.SECONDS);
            caller.send(CallerSocket.get("/a") + CallerSocket.get("/b"));
            awaitRead();
            server.drain();
            first.respond(200, List.of(), ByteString.copyFromUtf8("first"));
            assertTrue(caller.answer().endsWith("first"));
            assertTrue(caller.answer().endsWith("[/a]"));
            String last = caller.answer();
            assertTrue(last.endsWith("[/b]") && last.contains("connection: close\r\n"), last);
            assertEquals(caller.rest(), "");
        }
    }

    // Guards against a request that is passed on though its answer cannot be delivered any more.
    @Test
    public void requestBehindAnAnnouncedCloseIsNotPassedOn() throws Exception {
        server.drain();
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/held"));
            CallerExchange first = held.poll(20, TimeUnit.SECONDS);
            first.start(200, List.of());
            String head = caller.head();
            assertTrue(head.contains("connection: close\r\n"), head);
            caller.send(CallerSocket.get("/behind"));
            awaitRead();
            first.end();
            assertEquals(caller.rest(), "0\r\n\r\n");
        }
        awaitRead();
        assertFalse(handled.contains("/behind"), "passed on: " + handled);
    }

    // Guards against a request that is passed on behind one whose caller has said that it is the last.
    @Test
    public void requestBehindTheCallersLastIsNotPassedOn() throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send("GET /last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n" + CallerSocket.get("/behind"));
            assertTrue(caller.rest().endsWith("[/last]"));
        }
        awaitRead();
        assertEquals(handled.get(0), "/last");
        assertFalse(handled.contains("/behind"), "passed on: " + handled);
    }

    // Guards against a stop cutting off what follows a stream whose head has not told that the connection closes.
    @Test
    public void requestBehindAStreamThatAnnouncedNoCloseIsAnswered() throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/held"));
            CallerExchange first = held.poll(20, TimeUnit.SECONDS);
            first.start(200, List.of());
            assertFalse(caller.head().contains("connection: close"));
            server.drain();
            first.write(ByteString.copyFromUtf8("part"), () -> {});
            first.end();
            assertTrue(caller.readUntil("0\r\n\r\n").contains("part"));
            String answer = caller.send(CallerSocket.get("/next")).answer();
            assertTrue(answer.endsWith("[/next]") && answer.contains("connection: close\r\n"), answer);
            assertEquals(caller.rest(), "");
        }
    }

    /** Returns when all that was sent before on any connection has been read: one loop reads them all. */
    private void awaitRead() throws Exception {
        for (int i = 0; i < 2; i++) {
            try (CallerSocket other = new CallerSocket(port)) {
                other.send(CallerSocket.get("/other")).answer();
            }
        }
    }
}
