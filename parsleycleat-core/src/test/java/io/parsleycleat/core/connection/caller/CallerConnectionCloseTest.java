package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** No way in which the server closes a connection leaves a request without an answer. */
public class CallerConnectionCloseTest {
    private static final Duration SHORT_IDLE = Duration.ofMillis(100);
    private static final Duration LONG_IDLE = Duration.ofSeconds(60);
    private static final Duration SHORT_READ_TIMEOUT = Duration.ofMillis(200);
    private static final Duration LONG_READ_TIMEOUT = Duration.ofSeconds(20);
    /** More than the short idle timeout and the time by which a connection is closed later. */
    private static final long AFTER_SHORT_IDLE_MILLIS = 1_500;

    /** One loop, so that a request and its answer on one connection follow what was sent before on another. */
    private final EventLoopGroup loop = new NioEventLoopGroup(1);

    private final BlockingQueue<CallerExchange> held = new LinkedBlockingQueue<>();
    private final List<String> handled = Collections.synchronizedList(new ArrayList<>());
    private CallerServer server;
    private int port;
    private volatile CallerLimits limits = CallerLimits.DEFAULT;

    @BeforeMethod
    public void listen() {
        limits = new CallerLimits(512, 100_000, 2, LONG_READ_TIMEOUT, LONG_IDLE);
        held.clear();
        handled.clear();
        server = new CallerServer(loop, () -> limits, this::handle);
        port = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .getPort();
    }

    private void handle(CallerRequest request, CallerExchange exchange) {
        handled.add(request.uri());
        if (request.uri().startsWith("/held")) {
            held.add(exchange);
        } else {
            exchange.respond(200, List.of(), ByteString.copyFromUtf8("[" + request.uri() + "]"));
        }
    }

    @AfterMethod
    public void closeServer() {
        server.close();
    }

    @AfterClass
    public void stopLoops() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
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
}
