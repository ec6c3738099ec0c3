package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CallerServerTest {
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
    private static final CallerLimits LIMITS =
            new CallerLimits(2_048, 10_000, 2, Duration.ofMillis(300), Duration.ofSeconds(30));

    private final EventLoopGroup loops = new NioEventLoopGroup(2);
    private CallerServer server;

    @AfterMethod
    public void closeServer() {
        server.close();
    }

    @AfterClass
    public void stopLoops() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] versions() {
        return new Object[][] {{HttpClient.Version.HTTP_1_1}, {HttpClient.Version.HTTP_2}};
    }

    @Test(dataProvider = "versions")
    public void answersAsAWhole(HttpClient.Version version) throws Exception {
        int port = serve((request, exchange) ->
                exchange.respond(200, List.of(Map.entry("x-method", request.method())), request.body()));
        HttpResponse<String> answer = send(version, port, "hello");
        assertEquals(answer.version(), version);
        assertEquals(answer.body(), "hello");
        assertEquals(answer.headers().firstValue("x-method").orElse(""), "POST");
    }

    @Test(dataProvider = "versions")
    public void answersInParts(HttpClient.Version version) throws Exception {
        int port = serve((request, exchange) -> {
            exchange.start(200, List.of());
            exchange.write(ByteString.copyFromUtf8("one "), () -> {});
            exchange.write(ByteString.copyFromUtf8("two"), () -> {});
            exchange.end();
        });
        assertEquals(send(version, port, "x").body(), "one two");
    }

    @Test(dataProvider = "versions")
    public void answerThatBreaksOffIsNotTakenForWhole(HttpClient.Version version) throws Exception {
        int port = serve((request, exchange) -> {
            exchange.start(200, List.of());
            exchange.write(ByteString.copyFromUtf8("half"), exchange::abort);
        });
        expectThrows(IOException.class, () -> send(version, port, "x"));
    }

    @Test(dataProvider = "versions")
    public void bodyAboveTheLimitIsRefused(HttpClient.Version version) throws Exception {
        int port = serve((request, exchange) -> exchange.respond(200, List.of(), ByteString.EMPTY));
        String answer = raw(port, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10001\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
        assertTrue(answer.contains("\"code\":1009"), answer);
        assertTrue(answer.contains("\"class\":\"not run\""), answer);
    }

    @Test
    public void headersAboveTheLimitAreRefused() throws Exception {
        int port = serve((request, exchange) -> exchange.respond(200, List.of(), ByteString.EMPTY));
        String answer = raw(port, "GET / HTTP/1.1\r\nx: " + "a".repeat(4_000) + "\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 431 "), answer);
    }

    @Test
    public void nonsenseIsRefused() throws Exception {
        int port = serve((request, exchange) -> exchange.respond(200, List.of(), ByteString.EMPTY));
        String answer = raw(port, "NONSENSE\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
    }

    @Test
    public void bodyThatDoesNotArriveIsRefused() throws Exception {
        int port = serve((request, exchange) -> exchange.respond(200, List.of(), ByteString.EMPTY));
        String answer = raw(port, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab");
        assertTrue(answer.startsWith("HTTP/1.1 408 "), answer);
    }

    @Test
    public void requestsOnOneConnectionAreAnsweredInOrder() throws Exception {
        int port = serve((request, exchange) ->
                exchange.respond(200, List.of(), ByteString.copyFromUtf8("[" + request.uri() + "]")));
        String answer =
                raw(port, "GET /a HTTP/1.1\r\nhost: a\r\n\r\nGET /b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        assertTrue(answer.indexOf("[/a]") > 0 && answer.indexOf("[/a]") < answer.indexOf("[/b]"), answer);
    }

    @Test
    public void callerThatLeavesIsNoticed() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch gone = new CountDownLatch(1);
        int port = serve((request, exchange) -> {
            exchange.onGone(gone::countDown);
            arrived.countDown();
        });
        try (Socket socket = connect(port)) {
            socket.getOutputStream().write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertTrue(arrived.await(20, TimeUnit.SECONDS));
        }
        assertTrue(gone.await(20, TimeUnit.SECONDS));
    }

    @Test
    public void idleConnectionMakesRoomAndBusyOnesDoNot() throws Exception {
        Semaphore busy = new Semaphore(0);
        int port = serve((request, exchange) -> {
            if ("/quick".equals(request.uri())) {
                exchange.respond(200, List.of(), ByteString.EMPTY);
            } else {
                busy.release();
            }
        });
        byte[] held = "GET /held HTTP/1.1\r\nhost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        byte[] kept = "GET /quick HTTP/1.1\r\nhost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        String quick = "GET /quick HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        try (Socket idle = connect(port);
                Socket first = connect(port)) {
            first.getOutputStream().write(held);
            assertTrue(busy.tryAcquire(20, TimeUnit.SECONDS));
            idle.getOutputStream().write(kept);
            assertEquals(idle.getInputStream().read(), 'H');
            try (Socket second = connect(port)) {
                second.getOutputStream().write(held);
                assertTrue(busy.tryAcquire(20, TimeUnit.SECONDS));
                idle.getInputStream().transferTo(OutputStream.nullOutputStream());
                assertTrue(raw(port, quick).startsWith("HTTP/1.1 503 "), "all connections are busy");
            }
        }
    }

    private int serve(CallerService service) {
        server = new CallerServer(loops, LIMITS, service);
        return server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .getPort();
    }

    private static HttpResponse<String> send(HttpClient.Version version, int port, String body) throws Exception {
        HttpClient client = HttpClient.newBuilder().version(version).build();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/"))
                .timeout(Duration.ofSeconds(20))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return socket;
    }

    private static String raw(int port, String text) throws IOException {
        try (Socket socket = connect(port)) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            socket.getInputStream().transferTo(answer);
            return answer.toString(StandardCharsets.UTF_8);
        }
    }
}
