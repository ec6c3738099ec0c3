package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Sends damaged requests with fixed seeds: each is answered or its connection closed, and others are still served. */
public class CallerFuzzTest {
    private static final int SEEDS = 300;
    private static final int MAX_CHANGES = 8;
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
    private static final int MAX_CLOSE_CHECKS = 2_000;
    private static final long CLOSE_CHECK_MILLIS = 10;
    private static final List<String> REQUESTS = List.of(
            "GET /v1/models HTTP/1.1\r\nhost: a\r\nauthorization: Bearer k\r\n\r\n",
            "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 20\r\n\r\n{\"model\":\"a\",\"x\":12}",
            "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0\0\0\6\1\4\0\0\0\1\203\206\204A\1a",
            "GET / HTTP/1.1\r\nupgrade: h2c\r\nconnection: upgrade, http2-settings\r\nhttp2-settings: \r\n\r\n");

    private final EventLoopGroup loops = new NioEventLoopGroup(2);
    private CallerServer server;
    private int port;

    @BeforeClass
    public void listen() {
        server = new CallerServer(
                loops,
                CallerLimits.DEFAULT,
                (request, exchange) -> exchange.respond(200, List.of(), ByteString.copyFromUtf8("served")));
        port = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .getPort();
    }

    @AfterClass
    public void close() {
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    public void damagedRequestsHarmNobody() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            send(damaged(new Random(seed)));
        }
        String answer = new String(
                send("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1)),
                StandardCharsets.ISO_8859_1);
        assertTrue(answer.endsWith("served"), answer);
    }

    @Test(dependsOnMethods = "damagedRequestsHarmNobody")
    public void noConnectionIsLeftBehind() throws Exception {
        try (Socket last = connect()) {
            last.getOutputStream()
                    .write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
            last.getInputStream().readAllBytes();
        }
        // The server closes its end once it has read that the caller has closed its own.
        for (int i = 0; i < MAX_CLOSE_CHECKS && server.openConnections() > 0; i++) {
            loops.schedule(() -> {}, CLOSE_CHECK_MILLIS, TimeUnit.MILLISECONDS).get();
        }
        assertEquals(server.openConnections(), 0, "connections are open");
    }

    private static byte[] damaged(Random random) {
        byte[] bytes = REQUESTS.get(random.nextInt(REQUESTS.size())).getBytes(StandardCharsets.ISO_8859_1);
        int changes = 1 + random.nextInt(MAX_CHANGES);
        for (int i = 0; i < changes; i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        return bytes;
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return socket;
    }

    /** Returns what the server sends until it closes the connection; it must do so once the caller has. */
    private byte[] send(byte[] bytes) throws IOException {
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes);
            socket.shutdownOutput();
            socket.getInputStream().transferTo(answer);
        } catch (SocketException e) {
            // A connection that the server resets is closed, too.
            return answer.toByteArray();
        }
        return answer.toByteArray();
    }
}
