package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A caller that goes on sending while it is refused, or answered for the last time, gets to see the answer. */
public class CallerRefusalTest extends CallerServerFixture {
    private static final int MANY_BYTES = 12_000_000;

    private final BlockingQueue<CallerExchange> held = new LinkedBlockingQueue<>();

    @BeforeMethod
    public void listen() {
        held.clear();
        CallerLimits limits = new CallerLimits(512, 1_000, 100, Duration.ofMillis(300), Duration.ofSeconds(60));
        listen(() -> limits, (request, exchange) -> held.add(exchange));
    }

    @DataProvider
    public Object[][] refused() {
        return new Object[][] {
            {413, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: " + MANY_BYTES + "\r\n\r\n", ""},
            {
                413,
                "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" + Integer.toHexString(MANY_BYTES)
                        + "\r\n",
                "\r\n0\r\n\r\n"
            },
            {431, "GET / HTTP/1.1\r\nhost: a\r\nx: ", "\r\n\r\n"},
            {400, "NONSENSE\r\n\r\n", ""},
        };
    }

    // Guards against a refusal that is lost because the connection is reset while its caller still sends.
    @Test(dataProvider = "refused")
    public void callerThatStillSendsSeesItsRefusal(int status, String begin, String end) throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            String answer = caller.send(begin + "b".repeat(MANY_BYTES) + end).answer();
            assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
            assertTrue(answer.contains("connection: close\r\n"), answer);
            assertEquals(caller.rest(), "");
        }
    }

    // Guards against a refusal that is lost because the rest of a slow body arrives behind it.
    @Test
    public void callerWhoseBodyWasTooSlowSeesItsRefusal() throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab");
            assertTrue(caller.readUntil("\r\n").startsWith("HTTP/1.1 408 "));
            caller.send("cde");
            assertTrue(caller.rest().contains("\"code\":1011"));
        }
    }

    // Guards against a last answer that is lost because its caller sends another request across the close.
    @Test
    public void callerThatSendsAcrossTheCloseSeesItsLastAnswer() throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(CallerSocket.get("/"));
            CallerExchange exchange = held.poll(20, TimeUnit.SECONDS);
            server.drain();
            exchange.respond(200, List.of(), ByteString.copyFromUtf8("a".repeat(MANY_BYTES)));
            assertTrue(caller.head().contains("connection: close\r\n"));
            caller.send(CallerSocket.get("/across").repeat(1_000));
            assertEquals(caller.rest(), "a".repeat(MANY_BYTES));
        }
    }

    // Guards against callers who hold a connection for ever by sending on.
    @Test
    public void connectionOfACallerThatSendsOnIsClosed() throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            assertTrue(caller.send("NONSENSE\r\n\r\n").answer().startsWith("HTTP/1.1 400 "));
            caller.rest();
            while (server.openConnections() > 0) {
                loop.next().schedule(() -> {}, 10, TimeUnit.MILLISECONDS).get();
            }
        }
        assertEquals(server.openConnections(), 0);
    }
}
