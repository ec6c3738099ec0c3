package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.body.BodyMemory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against many callers whose bodies are each of the allowed size and fill the heap together. */
public class CallerBodyMemoryTest extends CallerServerFixture {
    private static final int MIB = 1024 * 1024;
    private static final String LENGTH_HEAD = "POST /large HTTP/1.1\r\nhost: a\r\ncontent-length: " + MIB + "\r\n\r\n";
    private static final String CHUNKED_HEAD =
            "POST /large HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" + Integer.toHexString(MIB) + "\r\n";

    private final BlockingQueue<CallerExchange> held = new LinkedBlockingQueue<>();

    @BeforeMethod
    public void listen() {
        held.clear();
        CallerLimits limits = new CallerLimits(512, 2 * MIB, 100, Duration.ofSeconds(60), Duration.ofSeconds(60));
        server = new CallerServer(loop, () -> limits, new BodyMemory(5 * MIB), this::handle);
        port = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .getPort();
    }

    private void handle(CallerRequest request, CallerExchange exchange) {
        if (request.path().equals("/large")) {
            held.add(exchange);
        } else {
            exchange.respond(200, List.of(), ByteString.EMPTY);
        }
    }

    @DataProvider
    public Object[][] framings() {
        return new Object[][] {{LENGTH_HEAD, ""}, {CHUNKED_HEAD, "\r\n0\r\n\r\n"}};
    }

    /** The large bodies that fit are taken, the others are refused at once, and small ones are served beside them. */
    @Test(dataProvider = "framings")
    public void bodiesBeyondTheMemoryAreRefusedAsNotRun(String head, String end) throws Exception {
        List<CallerSocket> taken = new ArrayList<>();
        List<CallerExchange> exchanges = new ArrayList<>();
        try {
            for (int i = 0; i < 3; i++) {
                taken.add(new CallerSocket(port).send(head + "b".repeat(MIB) + end));
                exchanges.add(Objects.requireNonNull(held.poll(20, TimeUnit.SECONDS), "a body was not taken"));
            }
            assertTrue(server.bodyBytes() >= 3 * MIB, server.bodyBytes() + " bytes");
            assertRefused(head, end);
            try (CallerSocket small = new CallerSocket(port)) {
                String request = "POST /small HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello";
                assertTrue(small.send(request).answer().startsWith("HTTP/1.1 200 "));
            }
            exchanges.forEach(e -> e.respond(200, List.of(), ByteString.EMPTY));
            for (CallerSocket caller : taken) {
                assertTrue(caller.answer().startsWith("HTTP/1.1 200 "));
            }
            loop.submit(() -> {}).syncUninterruptibly();
            assertEquals(server.bodyBytes(), 0);
        } finally {
            for (CallerSocket caller : taken) {
                caller.close();
            }
        }
    }

    private void assertRefused(String head, String end) throws IOException {
        try (CallerSocket caller = new CallerSocket(port)) {
            String answer = caller.send(head + "b".repeat(MIB) + end).answer();
            assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
            assertTrue(
                    answer.contains("1052") && answer.toLowerCase(Locale.ROOT).contains("retry-after: 1"), answer);
        }
    }

    /** A body of which only a part arrives gives its memory back when its caller leaves. */
    @Test
    public void callerThatLeavesGivesTheMemoryBack() throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(LENGTH_HEAD + "b");
            try (CallerSocket other = new CallerSocket(port)) {
                assertTrue(other.send(CallerSocket.get("/small")).answer().startsWith("HTTP/1.1 200 "));
            }
        }
        while (server.bodyBytes() > 0) {
            loop.submit(() -> {}).syncUninterruptibly();
        }
        assertEquals(server.bodyBytes(), 0);
    }
}
