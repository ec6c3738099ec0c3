package io.parsleycleat.core.connection.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.result.UpstreamException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses that are none, to the calls of the store, of engines and of plain services. */
public class FaultyResponseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String SOUND = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound";

    private final BlockingQueue<String> scripts = new LinkedBlockingQueue<>();
    private EventLoopGroup loops;
    private AsyncHttpClient http;
    private ServerSocket server;

    /** What a call of a plain service reported. */
    private static final class Reported implements ServiceAnswer {
        private final CompletableFuture<String> end = new CompletableFuture<>();
        private final StringBuilder text = new StringBuilder();

        @Override
        public void onHead(int status, List<Map.Entry<String, String>> headers) {
            text.append(status).append(' ');
        }

        @Override
        public void onBody(byte[] part) {
            text.append(new String(part, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd() {
            end.complete(text.toString());
        }

        @Override
        public void onFailure(UpstreamException failure) {
            end.completeExceptionally(failure);
        }
    }

    @BeforeMethod
    public void open() throws IOException {
        scripts.clear();
        loops = new NioEventLoopGroup(1);
        http = HttpClients.create(loops);
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        Thread accepting = new Thread(this::accept, "faulty-server");
        accepting.setDaemon(true);
        accepting.start();
    }

    @AfterMethod
    public void close() throws IOException {
        server.close();
        http.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                Thread serving = new Thread(() -> serve(connection), "faulty-connection");
                serving.setDaemon(true);
                serving.start();
            }
        } catch (IOException expected) {
            // The test closed the server.
        }
    }

    /** Answers each request without a body by the next script; all later ones by a sound response. */
    private void serve(Socket connection) {
        try (connection) {
            InputStream in = connection.getInputStream();
            StringBuilder head = new StringBuilder();
            for (int next = in.read(); next >= 0; next = in.read()) {
                head.append((char) next);
                if (head.indexOf("\r\n\r\n") >= 0) {
                    head.setLength(0);
                    String script = scripts.poll();
                    connection
                            .getOutputStream()
                            .write((script == null ? SOUND : script).getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException expected) {
            // The client closed the connection.
        }
    }

    private CompletableFuture<String> call(String client) {
        URI base = URI.create("http://127.0.0.1:" + server.getLocalPort());
        if (client.equals("service")) {
            Reported reported = new Reported();
            ServiceRequest request = new ServiceRequest("GET", "/", List.of(), ByteString.EMPTY);
            new HttpPlainService(http, base, TIMEOUT).call(request, reported);
            return reported.end;
        }
        RequestBuilder request =
                new RequestBuilder("GET").setUrl(base.toString()).setRequestTimeout(TIMEOUT);
        return LimitedAnswer.of(http, request.build(), 1_000)
                .thenApply(r -> r.getStatusCode() + " " + r.getResponseBody());
    }

    @DataProvider
    public Object[][] faulty() {
        List<String> clients = List.of("service", "limited");
        List<String> responses = List.of(
                "HTTP/1.1 000 x\r\ncontent-length: 2\r\n\r\nok",
                "HTTP/1.1 0200 OK\r\ncontent-length: 2\r\n\r\nok",
                "HTTP/1.1 999 x\r\ncontent-length: 2\r\n\r\nok",
                "HTTP/9.9 200 OK\r\ncontent-length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\ncontent-length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 40\r\n\r\nok");
        return clients.stream()
                .flatMap(client -> responses.stream().map(response -> new Object[] {client, response}))
                .toArray(Object[][]::new);
    }

    // Guards against a response that is none being taken for the answer of the store, an engine or a service.
    @Test(dataProvider = "faulty", timeOut = 30_000)
    public void responseThatIsNoneFailsItsCall(String client, String response) throws Exception {
        scripts.add(response + SOUND.replace("sound", "stale"));
        ExecutionException e =
                expectThrows(ExecutionException.class, () -> call(client).get());
        if (e.getCause() instanceof UpstreamException failure) {
            assertEquals(failure.code(), ResultCode.UPSTREAM_LOST);
        }
        assertEquals(call(client).get(), "200 sound");
    }

    @DataProvider
    public Object[][] clients() {
        return new Object[][] {{"service"}, {"limited"}};
    }

    // Guards against bytes behind a response that are read as the answer to the next call.
    @Test(dataProvider = "clients", timeOut = 30_000)
    public void responseBehindAnotherIsNotThatOfTheNextCall(String client) throws Exception {
        scripts.add(SOUND + SOUND.replace("sound", "stale"));
        assertEquals(call(client).get(), "200 sound");
        assertEquals(call(client).get(), "200 sound");
    }

    // Guards against a response without a final status that is taken for the answer.
    @Test(dataProvider = "clients", timeOut = 30_000)
    public void interimResponseIsNotTheAnswer(String client) throws Exception {
        scripts.add("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" + SOUND);
        assertEquals(call(client).get(), "200 sound");
        assertEquals(call(client).get(), "200 sound");
    }

    // Guards against a protocol that nobody asked for.
    @Test(dataProvider = "clients", timeOut = 30_000)
    public void switchToAnotherProtocolFailsItsCall(String client) throws Exception {
        scripts.add("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\nbytes");
        expectThrows(ExecutionException.class, () -> call(client).get());
        assertEquals(call(client).get(), "200 sound");
    }

    // Guards against a sound connection that is given up after each call.
    @Test(dataProvider = "clients", timeOut = 30_000)
    public void connectionIsKeptBehindASoundResponse(String client) throws Exception {
        scripts.add("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n");
        assertEquals(call(client).get(), "200 first");
        server.close();
        assertEquals(call(client).get(), "200 sound");
        assertTrue(scripts.isEmpty());
    }
}
