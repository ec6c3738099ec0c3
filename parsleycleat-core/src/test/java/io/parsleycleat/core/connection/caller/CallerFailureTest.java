package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A request whose service fails unexpectedly is answered all the same. */
public class CallerFailureTest {
    private static final List<Map.Entry<String, String>> ILLEGAL_HEADERS = List.of(Map.entry("x", "a\u0000b"));

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
    public Object[][] failures() {
        CallerService throwing = (request, exchange) -> {
            throw new IllegalStateException("out of order");
        };
        CallerService failing = (request, exchange) -> {
            throw new StackOverflowError();
        };
        CallerService illegalAnswer =
                (request, exchange) -> exchange.respond(200, ILLEGAL_HEADERS, ByteString.copyFromUtf8("x"));
        CallerService illegalHead = (request, exchange) -> {
            exchange.start(200, ILLEGAL_HEADERS);
            exchange.write(ByteString.copyFromUtf8("x"), () -> {});
            exchange.end();
        };
        CallerService illegalStatus = (request, exchange) -> exchange.respond(-1, List.of(), ByteString.EMPTY);
        return new Object[][] {{throwing}, {failing}, {illegalAnswer}, {illegalHead}, {illegalStatus}};
    }

    // Guards against a connection that is closed, or stays silent, because the service or an action of the answer
    // threw.
    @Test(dataProvider = "failures")
    public void requestWhoseServiceFailsIsAnsweredAndTheConnectionUsable(CallerService failing) throws Exception {
        int port = serve(failingAt("/failing", failing));
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/failing"));
            assertIsFailure(caller.answer());
            caller.send(CallerSocket.get("/sound"));
            assertTrue(caller.answer().endsWith("sound"));
        }
    }

    // Guards against a request that waits for ever because it was dispatched behind another's answer and threw there.
    @Test(dataProvider = "failures")
    public void pipelinedRequestWhoseServiceFailsIsAnswered(CallerService failing) throws Exception {
        int port = serve(failingAt("/failing", failing));
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/sound") + CallerSocket.get("/failing") + CallerSocket.get("/sound"));
            assertTrue(caller.answer().endsWith("sound"));
            assertIsFailure(caller.answer());
            assertTrue(caller.answer().endsWith("sound"));
        }
    }

    // Guards against a stream that is reset, or stays open, because the service or an action of the answer threw.
    @Test(dataProvider = "failures")
    public void streamWhoseServiceFailsIsAnswered(CallerService failing) throws Exception {
        int port = serve(failing);
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/"))
                .timeout(Duration.ofSeconds(20))
                .build();
        HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(answer.statusCode(), 500);
        assertTrue(answer.body().contains("\"code\":2009"), answer.body());
    }

    // Guards against a failure that leaves work and counts of the service behind.
    @Test
    public void serviceThatFailsIsToldToGiveUpTheRequest() throws Exception {
        CountDownLatch givenUp = new CountDownLatch(1);
        int port = serve((request, exchange) -> {
            exchange.onGone(() -> {
                throw new IllegalStateException("out of order");
            });
            exchange.onGone(givenUp::countDown);
            throw new IllegalStateException("out of order");
        });
        try (CallerSocket caller = new CallerSocket(port)) {
            assertIsFailure(caller.send(CallerSocket.get("/")).answer());
            assertTrue(givenUp.await(20, TimeUnit.SECONDS));
        }
    }

    // Guards against a failure behind a part of the answer that the caller takes for the answer's end, or waits on.
    @Test
    public void failureBehindAPartOfTheAnswerCutsIt() throws Exception {
        CountDownLatch givenUp = new CountDownLatch(1);
        int port = serve((request, exchange) -> {
            exchange.onGone(givenUp::countDown);
            exchange.start(200, List.of());
            exchange.write(ByteString.copyFromUtf8("half"), () -> {
                throw new IllegalStateException("out of order");
            });
        });
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/")).readUntil("half\r\n");
            assertFalse(caller.rest().contains("0\r\n"), "an answer that was cut must not look whole");
            assertTrue(givenUp.await(20, TimeUnit.SECONDS));
        }
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/"))
                .timeout(Duration.ofSeconds(20))
                .build();
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
        expectThrows(IOException.class, () -> client.send(request, HttpResponse.BodyHandlers.ofString()));
    }

    private static CallerService failingAt(String path, CallerService failing) {
        return (request, exchange) -> {
            if (path.equals(request.uri())) {
                failing.handle(request, exchange);
            } else {
                exchange.respond(200, List.of(), ByteString.copyFromUtf8("sound"));
            }
        };
    }

    private static void assertIsFailure(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 500 "), answer);
        assertTrue(answer.contains("\"code\":2009"), answer);
        assertTrue(answer.contains("\"class\":\"may have run\""), answer);
    }

    private int serve(CallerService service) {
        server = new CallerServer(loops, CallerLimits.DEFAULT, service);
        return server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .getPort();
    }
}
