package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * What waits unread in the socket while the event loop is held up counts as having arrived: no timer, stop or eviction
 * that is due by then goes before it.
 */
public class CallerUnreadRequestTest extends CallerServerFixture {
    private static final Duration SHORT_IDLE = Duration.ofMillis(100);
    private static final Duration LONG = Duration.ofSeconds(60);
    private static final Duration SHORT_READ_TIMEOUT = Duration.ofMillis(200);
    /** More than each short timeout and the time by which a connection is closed later. */
    private static final long AFTER_TIMEOUTS_MILLIS = 1_500;

    private static final int BODY_BYTES = 60_000;

    private final EventLoopGroup clock = new NioEventLoopGroup(1);
    private volatile CallerLimits limits = CallerLimits.DEFAULT;
    private volatile CountDownLatch heldUp = new CountDownLatch(1);
    private volatile CountDownLatch released = new CountDownLatch(1);

    @BeforeMethod
    public void listen() {
        limits = new CallerLimits(512, 100_000, 2, LONG, LONG);
        heldUp = new CountDownLatch(1);
        released = new CountDownLatch(1);
        listen(() -> limits, this::handle);
    }

    @AfterClass
    public void stopClock() {
        clock.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Holds the event loop up as a slow reader of another connection's bytes does: in a pass over the sockets. */
    private void handle(CallerRequest request, CallerExchange exchange) {
        if ("/slow".equals(request.uri())) {
            heldUp.countDown();
            awaitUninterruptibly(released);
        }
        exchange.respond(
                200,
                List.of(),
                ByteString.copyFromUtf8("[" + request.uri() + request.body().size() + "]"));
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            assertTrue(latch.await(30, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What a test does while the event loop is held up. */
    @FunctionalInterface
    private interface Work {
        void run() throws Exception;
    }

    private void whileLoopIsHeldUp(Work work) throws Exception {
        try (CallerSocket slow = new CallerSocket(port)) {
            slow.send(CallerSocket.get("/slow"));
            assertTrue(heldUp.await(20, TimeUnit.SECONDS));
            work.run();
            released.countDown();
            slow.answer();
        } finally {
            released.countDown();
        }
    }

    private void awaitTimeouts() throws Exception {
        clock.next()
                .schedule(() -> {}, AFTER_TIMEOUTS_MILLIS, TimeUnit.MILLISECONDS)
                .get();
    }

    // Whole requests

    // Guards against an idle timer that is due before the socket is read and discards the request in it.
    @Test
    public void idleTimeoutDoesNotGoBeforeAWaitingRequest() throws Exception {
        limits = limits.withTimeouts(LONG, SHORT_IDLE);
        try (CallerSocket kept = new CallerSocket(port)) {
            kept.send(CallerSocket.get("/a")).answer();
            whileLoopIsHeldUp(() -> {
                kept.send(CallerSocket.get("/b"));
                awaitTimeouts();
            });
            assertTrue(kept.answer().endsWith("[/b0]"));
        }
    }

    // Guards against the end of a stop that closes a connection before its socket is read.
    @Test
    public void closingIdleConnectionsDoesNotGoBeforeAWaitingRequest() throws Exception {
        try (CallerSocket kept = new CallerSocket(port)) {
            kept.send(CallerSocket.get("/a")).answer();
            whileLoopIsHeldUp(() -> {
                kept.send(CallerSocket.get("/b"));
                server.drain();
                server.closeIdle();
            });
            String answer = kept.answer();
            assertTrue(answer.contains("connection: close\r\n") && answer.endsWith("[/b0]"), answer);
            assertEquals(kept.rest(), "");
        }
    }

    // Guards against a new connection that takes the place of one whose request waits in the socket.
    @Test
    public void newConnectionDoesNotGoBeforeAWaitingRequest() throws Exception {
        try (CallerSocket kept = new CallerSocket(port)) {
            kept.send(CallerSocket.get("/a")).answer();
            CallerSocket[] third = new CallerSocket[1];
            whileLoopIsHeldUp(() -> {
                // Connects first, so that the event loop accepts it before it reads the other one.
                third[0] = new CallerSocket(port);
                third[0].send(CallerSocket.get("/c"));
                kept.send(CallerSocket.get("/b"));
            });
            assertTrue(third[0].answer().endsWith("[/c0]"));
            assertTrue(kept.answer().endsWith("[/b0]"));
            third[0].close();
        }
    }

    // Guards against an HTTP/2 connection that is closed for unused while frames of a request wait in the socket.
    @Test
    public void idleTimeoutDoesNotGoBeforeAWaitingHttp2Request() throws Exception {
        limits = limits.withTimeouts(LONG, SHORT_IDLE);
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
        assertEquals(
                client.send(http2Request("/a"), HttpResponse.BodyHandlers.ofString())
                        .version(),
                HttpClient.Version.HTTP_2);
        List<CompletableFuture<HttpResponse<String>>> waiting = new ArrayList<>();
        whileLoopIsHeldUp(() -> {
            waiting.add(client.sendAsync(http2Request("/b"), HttpResponse.BodyHandlers.ofString()));
            awaitTimeouts();
        });
        assertEquals(waiting.get(0).get(20, TimeUnit.SECONDS).body(), "[/b0]");
    }

    private HttpRequest http2Request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(20))
                .build();
    }

    // Parts of requests

    // Guards against a head whose end waits in the socket and is refused as late.
    @Test
    public void readTimeoutDoesNotGoBeforeTheWaitingEndOfAHead() throws Exception {
        limits = limits.withTimeouts(SHORT_READ_TIMEOUT, SHORT_IDLE);
        try (CallerSocket kept = new CallerSocket(port)) {
            kept.send(CallerSocket.get("/a")).answer();
            kept.send("GET /b HTTP/1.1\r\nho");
            whileLoopIsHeldUp(() -> {
                kept.send("st: a\r\n\r\n");
                awaitTimeouts();
            });
            assertTrue(kept.answer().endsWith("[/b0]"));
        }
    }

    // Guards against a body whose end waits in the socket and is refused as late.
    @Test
    public void readTimeoutDoesNotGoBeforeTheWaitingEndOfABody() throws Exception {
        limits = limits.withTimeouts(SHORT_READ_TIMEOUT, SHORT_IDLE);
        try (CallerSocket kept = new CallerSocket(port)) {
            kept.send(CallerSocket.get("/a")).answer();
            kept.send("POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: " + BODY_BYTES + "\r\n\r\n1");
            whileLoopIsHeldUp(() -> {
                kept.send("1".repeat(BODY_BYTES - 1));
                awaitTimeouts();
            });
            assertTrue(kept.answer().endsWith("[/b" + BODY_BYTES + "]"));
        }
    }

    // Guards against a stop that takes a connection for idle while the end of its request waits in the socket.
    @Test
    public void closingIdleConnectionsDoesNotGoBeforeTheWaitingEndOfABody() throws Exception {
        try (CallerSocket kept = new CallerSocket(port)) {
            kept.send(CallerSocket.get("/a")).answer();
            kept.send("POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: " + BODY_BYTES + "\r\n\r\n1");
            whileLoopIsHeldUp(() -> {
                kept.send("1".repeat(BODY_BYTES - 1));
                server.drain();
                server.closeIdle();
            });
            String answer = kept.answer();
            assertTrue(answer.contains("connection: close\r\n") && answer.endsWith("[/b" + BODY_BYTES + "]"), answer);
            assertEquals(kept.rest(), "");
        }
    }

    // Crossings

    // Guards against a request that crosses a close and is read all the same, though nobody answers it: its caller may
    // repeat only what was not read. When the caller can see the end of the connection, nothing can be read any more.
    @Test
    public void requestThatCrossesACloseIsNotRead() throws Exception {
        limits = limits.withTimeouts(LONG, SHORT_IDLE);
        try (CallerSocket kept = new CallerSocket(port)) {
            kept.send(CallerSocket.get("/a")).answer();
            assertEquals(kept.rest(), "");
            // The task that closes the connection has ended.
            loop.submit(() -> {}).get();
            assertEquals(server.openConnections(), 0, "connections that are read on");
        }
    }
}
