package io.parsleycleat.core.connection.upstream;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.LateCallerLoops;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.result.UpstreamException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against calls that never end because their new connection was closed before the request was written on it:
 * each call must fail as soon as the connection is closed, not at its timeout.
 */
public class EarlyCloseTest {
    private static final Duration LONG_TIMEOUT = Duration.ofMinutes(10);
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private LateCallerLoops loops;
    private AsyncHttpClient http;

    /** What one call reported. */
    private static final class Reported implements ServiceAnswer, EngineAnswer {
        private final CompletableFuture<Void> end = new CompletableFuture<>();

        @Override
        public void onHead(int status, List<Map.Entry<String, String>> headers) {}

        @Override
        public void onBody(byte[] part) {}

        @Override
        public void onToken(long index, String text) {}

        @Override
        public void onEnd() {
            end.complete(null);
        }

        @Override
        public void onEnd(String finishReason, int promptTokens, int generatedTokens) {
            end.complete(null);
        }

        @Override
        public void onFailure(UpstreamException failure) {
            end.completeExceptionally(failure);
        }
    }

    /** Starts one call of a server. */
    @FunctionalInterface
    private interface Call {
        CompletableFuture<?> start(AsyncHttpClient http, URI server);
    }

    @BeforeMethod
    public void open() {
        loops = new LateCallerLoops();
        http = HttpClients.create(loops);
    }

    @AfterMethod
    public void close() throws IOException {
        http.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] earlyCloses() {
        return new Object[][] {{"", "limited"}, {ANSWER, "limited"}, {"", "check"}, {"", "state"}};
    }

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {{"", "service"}, {ANSWER, "service"}, {"", "engine"}, {ANSWER, "engine"}};
    }

    private static Call call(String name) {
        return switch (name) {
            case "limited" -> (http, server) -> LimitedAnswer.of(
                    http,
                    new RequestBuilder("GET")
                            .setUrl(server.toString())
                            .setRequestTimeout(LONG_TIMEOUT)
                            .build(),
                    1);
            case "check" -> (http, server) -> new HttpPlainService(http, server, LONG_TIMEOUT).check();
            case "state" -> (http, server) -> new HttpModelEngine(http, server, LONG_TIMEOUT).state();
            case "service" -> (http, server) -> {
                Reported reported = new Reported();
                ServiceRequest request = new ServiceRequest("GET", "/", List.of(), ByteString.EMPTY);
                new HttpPlainService(http, server, LONG_TIMEOUT).call(request, reported);
                return reported.end;
            };
            case "engine" -> (http, server) -> {
                Reported reported = new Reported();
                EngineRun run = new EngineRun("r", new AdapterVersion("a", "1"), false, "{}", 1, 0);
                new HttpModelEngine(http, server, LONG_TIMEOUT).run(run, reported);
                return reported.end;
            };
            default -> throw new IllegalArgumentException(name);
        };
    }

    /** Starts a call of a server that sends bytes, or nothing, and closes the connection before it reads a request. */
    private CompletableFuture<?> callClosedEarly(String sent, String call) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> served = CompletableFuture.runAsync(() -> {
                try (Socket connection = server.accept()) {
                    connection.getOutputStream().write(sent.getBytes(StandardCharsets.UTF_8));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            CompletableFuture<?> end = call(call).start(http, URI.create("http://127.0.0.1:" + server.getLocalPort()));
            served.get(20, TimeUnit.SECONDS);
            loops.drain();
            return end;
        }
    }

    @Test(dataProvider = "earlyCloses", timeOut = 30_000)
    public void failsCallWhoseConnectionIsClosedBeforeTheRequest(String sent, String call) throws Exception {
        CompletableFuture<?> end = callClosedEarly(sent, call);
        assertTrue(end.isCompletedExceptionally(), "the connection is closed and the call goes on");
    }

    /** Guards against requests without an answer; the failure says that the request was not run. */
    @Test(dataProvider = "requests", timeOut = 30_000)
    public void failsRequestWhoseConnectionIsClosedBeforeIt(String sent, String call) throws Exception {
        CompletableFuture<?> end = callClosedEarly(sent, call);
        assertTrue(end.isDone(), "the connection is closed and the request goes on");
        ExecutionException e = expectThrows(ExecutionException.class, end::get);
        assertTrue(
                e.getCause() instanceof UpstreamException failure && failure.code() == ResultCode.UPSTREAM_UNREACHABLE,
                e.toString());
    }
}
