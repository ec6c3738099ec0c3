package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Limits that change while a connection is open hold for it too. */
public class CallerLimitsChangeTest extends CallerServerFixture {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT_IDLE = Duration.ofMillis(100);
    private static final Duration LONG_IDLE = Duration.ofSeconds(60);
    /** More than the short idle timeout and the time by which a connection is closed later. */
    private static final long AFTER_SHORT_IDLE_MILLIS = 1_500;

    private volatile CallerLimits limits = CallerLimits.DEFAULT;

    @BeforeMethod
    public void listen() {
        limits = new CallerLimits(512, 100, 100, READ_TIMEOUT, LONG_IDLE);
        listen(
                () -> limits,
                (request, exchange) -> exchange.respond(
                        200,
                        List.of(),
                        ByteString.copyFromUtf8("read " + request.body().size())));
    }

    // Guards against a connection that is closed by an idle timeout that is not in force any more.
    @Test
    public void connectionStaysOpenForARaisedIdleTimeout() throws Exception {
        limits = limits.withTimeouts(READ_TIMEOUT, SHORT_IDLE);
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/")).answer();
            limits = limits.withTimeouts(READ_TIMEOUT, LONG_IDLE);
            awaitEndOfShortIdleTimeout();
            assertTrue(caller.send(CallerSocket.get("/")).answer().endsWith("read 0"));
        }
    }

    // Guards against a connection without any request yet that an outdated idle timeout closes.
    @Test
    public void newConnectionStaysOpenForARaisedIdleTimeout() throws Exception {
        limits = limits.withTimeouts(READ_TIMEOUT, SHORT_IDLE);
        try (CallerSocket caller = new CallerSocket(port);
                CallerSocket other = new CallerSocket(port)) {
            other.send(CallerSocket.get("/")).answer();
            limits = limits.withTimeouts(READ_TIMEOUT, LONG_IDLE);
            awaitEndOfShortIdleTimeout();
            assertTrue(caller.send(CallerSocket.get("/")).answer().endsWith("read 0"));
        }
    }

    // Guards against an HTTP/2 connection that an outdated idle timeout closes.
    @Test
    public void http2ConnectionStaysOpenForARaisedIdleTimeout() throws Exception {
        limits = limits.withTimeouts(READ_TIMEOUT, SHORT_IDLE);
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/"))
                .timeout(Duration.ofSeconds(20))
                .build();
        HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(answer.version(), HttpClient.Version.HTTP_2);
        limits = limits.withTimeouts(READ_TIMEOUT, LONG_IDLE);
        awaitEndOfShortIdleTimeout();
        assertEquals(server.openConnections(), 1);
        assertEquals(client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode(), 200);
    }

    // Guards against HTTP/2 connections that are never closed because they came by an upgrade.
    @Test
    public void idleHttp2ConnectionIsClosed() throws Exception {
        limits = limits.withTimeouts(READ_TIMEOUT, SHORT_IDLE);
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/"))
                .timeout(Duration.ofSeconds(20))
                .build();
        assertEquals(client.send(request, HttpResponse.BodyHandlers.ofString()).version(), HttpClient.Version.HTTP_2);
        awaitEndOfShortIdleTimeout();
        awaitEndOfShortIdleTimeout();
        assertEquals(server.openConnections(), 0);
    }

    // Guards against a caller that relies on the idle timeout that it was told, while a lower one comes into force.
    @Test
    public void connectionStaysOpenForAsLongAsItsCallerWasTold() throws Exception {
        try (CallerSocket caller = new CallerSocket(port);
                CallerSocket later = new CallerSocket(port)) {
            String answer = caller.send(CallerSocket.get("/")).answer();
            assertTrue(answer.contains("keep-alive: timeout=60\r\n"), answer);
            limits = limits.withTimeouts(READ_TIMEOUT, SHORT_IDLE);
            answer = later.send(CallerSocket.get("/")).answer();
            assertFalse(answer.contains("keep-alive: timeout"), "less than a second cannot be told: " + answer);
            assertEquals(later.rest(), "", "closed by the lower timeout");
            assertTrue(caller.send(CallerSocket.get("/")).answer().endsWith("read 0"));
        }
    }

    // Guards against a body that is refused, or accepted, by a limit that is not in force any more.
    @Test
    public void openConnectionFollowsTheLimitOfBodies() throws Exception {
        String request = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 500\r\n\r\n" + "b".repeat(500);
        String chunked = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1f4\r\n" + "b".repeat(500)
                + "\r\n0\r\n\r\n";
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/")).answer();
            limits = withBytes(512, 1_000);
            assertTrue(caller.send(request).answer().endsWith("read 500"));
            assertTrue(caller.send(chunked).answer().endsWith("read 500"));
            limits = withBytes(512, 100);
            String answer = caller.send(chunked).answer();
            assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
        }
    }

    // Guards against headers that are refused, or accepted, by a limit that is not in force any more.
    @Test
    public void openConnectionFollowsTheLimitOfHeaders() throws Exception {
        String request = "GET / HTTP/1.1\r\nhost: a\r\nx: " + "b".repeat(2_000) + "\r\n\r\n";
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/")).answer();
            limits = withBytes(4_096, 100);
            assertTrue(caller.send(request).answer().endsWith("read 0"));
            limits = withBytes(512, 100);
            String answer = caller.send(request).answer();
            assertTrue(answer.startsWith("HTTP/1.1 431 "), answer);
        }
    }

    private CallerLimits withBytes(int headerBytes, int bodyBytes) {
        return new CallerLimits(headerBytes, bodyBytes, 100, READ_TIMEOUT, LONG_IDLE);
    }

    private void awaitEndOfShortIdleTimeout() throws Exception {
        loop.next()
                .schedule(() -> {}, AFTER_SHORT_IDLE_MILLIS, TimeUnit.MILLISECONDS)
                .get();
    }
}
