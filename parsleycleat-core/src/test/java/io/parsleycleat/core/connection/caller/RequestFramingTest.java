package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A request whose end two readers could see in two places is refused, and nothing behind it is run. */
public class RequestFramingTest extends CallerServerFixture {
    private static final String SECOND =
            "POST /second HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
    private static final String EMPTY_CHUNKS = "0\r\n\r\n";
    private static final CallerLimits LIMITS =
            new CallerLimits(4_096, 1_000_000, 100, Duration.ofSeconds(20), Duration.ofSeconds(60));

    private final Queue<String> served = new ConcurrentLinkedQueue<>();

    @BeforeMethod
    public void listen() {
        served.clear();
        listen(() -> LIMITS, (request, exchange) -> {
            served.add(request.uri() + " " + request.body().toStringUtf8());
            exchange.respond(200, List.of(), ByteString.copyFromUtf8("served"));
        });
    }

    // Rows

    private static Object[] head(String name, String headers, String body) {
        return new Object[] {name, "POST /first HTTP/1.1\r\nhost: a\r\n" + headers + "\r\n" + body};
    }

    private static Object[] lengthBeside(String name, String headers) {
        return head(name, "content-length: " + (EMPTY_CHUNKS + SECOND).length() + "\r\n" + headers, EMPTY_CHUNKS);
    }

    private static Object[] chunks(String name, String body) {
        return head(name, "transfer-encoding: chunked\r\n", body);
    }

    @DataProvider
    public Object[][] lengthAndCoding() {
        String length = "content-length: " + (EMPTY_CHUNKS + SECOND).length() + "\r\n";
        return new Object[][] {
            lengthBeside("chunked behind a length", "transfer-encoding: chunked\r\n"),
            head("chunked before a length", "transfer-encoding: chunked\r\n" + length, EMPTY_CHUNKS),
            lengthBeside("coding list that ends otherwise", "transfer-encoding: chunked, identity\r\n"),
            head("coding list that ends otherwise, alone", "transfer-encoding: chunked, identity\r\n", ""),
            head("gzip", "transfer-encoding: gzip\r\n", ""),
            head("gzip before chunked", "transfer-encoding: gzip, chunked\r\n", EMPTY_CHUNKS),
            head("identity", "transfer-encoding: identity\r\n", ""),
            head("unknown coding", "transfer-encoding: xchunked\r\n", ""),
            head("chunked twice", "transfer-encoding: chunked, chunked\r\n", EMPTY_CHUNKS),
            head("two coding headers", "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n", EMPTY_CHUNKS),
            head(
                    "two equal coding headers",
                    "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
                    EMPTY_CHUNKS),
            lengthBeside("empty coding", "transfer-encoding:\r\n"),
            head("empty coding, alone", "transfer-encoding:\r\n", ""),
            head("empty element", "transfer-encoding: , chunked\r\n", EMPTY_CHUNKS),
            head("quoted coding", "transfer-encoding: \"chunked\"\r\n", ""),
            head("coding with a parameter", "transfer-encoding: chunked;q=1\r\n", EMPTY_CHUNKS),
            head("space before the colon", "transfer-encoding : chunked\r\n", EMPTY_CHUNKS),
            head("folded coding", "transfer-encoding:\r\n chunked\r\n", EMPTY_CHUNKS),
            head("vertical tab", "transfer-encoding:\u000bchunked\r\n", EMPTY_CHUNKS),
            old("HTTP/1.0 with chunks", "transfer-encoding: chunked\r\n", EMPTY_CHUNKS),
            old("HTTP/1.0 kept, with chunks", "connection: keep-alive\r\ntransfer-encoding: chunked\r\n", EMPTY_CHUNKS),
        };
    }

    private static Object[] old(String name, String headers, String body) {
        return new Object[] {name, "POST /first HTTP/1.0\r\nhost: a\r\n" + headers + "\r\n" + body};
    }

    @DataProvider
    public Object[][] lengths() {
        return new Object[][] {
            head("folded length", "content-length:\r\n 0\r\n", ""),
            head("two lengths that differ", "content-length: 0\r\ncontent-length: 40\r\n", ""),
            head("list of lengths that differ", "content-length: 0, 40\r\n", ""),
            head("signed length", "content-length: +0\r\n", ""),
            head("negative length", "content-length: -1\r\n", ""),
            head("hexadecimal length", "content-length: 0x0\r\n", ""),
            head("length above 2^64", "content-length: 18446744073709551616\r\n", ""),
            head("empty length", "content-length:\r\n", ""),
            head("length with a space inside", "content-length: 0 0\r\n", ""),
        };
    }

    @DataProvider
    public Object[][] chunkLines() {
        return new Object[][] {
            chunks("size of 2^32", "100000000\r\n\r\n"),
            chunks("size of 2^64", "10000000000000000\r\n\r\n"),
            chunks("size of 2^32 and more", "100000001\r\na\r\n0\r\n\r\n"),
            chunks("signed size", "+0\r\n\r\n"),
            chunks("negative size", "-1\r\n\r\n"),
            chunks("hexadecimal prefix", "0x0\r\n\r\n"),
            chunks("empty size", "\r\n\r\n"),
            chunks("space before the size", " 0\r\n\r\n"),
            chunks("text behind a space", "0 5\r\n\r\n"),
            chunks("bytes behind the data", "1\r\nab\r\n0\r\n\r\n"),
            chunks("no line end behind the data", "1\r\na0\r\n\r\n"),
            chunks("extension that ends by a line feed", "1;x\na\r\n0\r\n\r\n"),
            chunks("carriage return in an extension", "1;x\ry\r\na\r\n0\r\n\r\n"),
            chunks("size that ends by a line feed", "1\na\r\n0\r\n\r\n"),
            chunks("data that end by a line feed", "1\r\na\n0\r\n\r\n"),
            chunks("end by a line feed", "0\r\n\n"),
        };
    }

    @DataProvider
    public Object[][] heads() {
        return new Object[][] {
            {"bare line feeds", "POST /first HTTP/1.1\nhost: a\ncontent-length: 0\n\n"},
            {"bare line feed behind a header", "POST /first HTTP/1.1\r\nhost: a\ncontent-length: 0\r\n\r\n"},
            {"bare line feed at the end", "POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\n"},
            head("bare carriage return", "x: a\rcontent-length: 40\r\n", ""),
            head("name with a space", "content length: 40\r\n", ""),
            head("line without a colon", "content-length\r\n", ""),
            head("header without a name", ": 40\r\n", ""),
        };
    }

    // Tests

    // Guards against a request that runs though its text was a part of the body of another one.
    @Test(dataProvider = "lengthAndCoding")
    public void lengthBesideCodingOrOtherCodingIsRefused(String name, String first) throws Exception {
        assertRefused(first);
    }

    // Guards against a body whose length is read otherwise than its caller meant it.
    @Test(dataProvider = "lengths")
    public void unclearLengthIsRefused(String name, String first) throws Exception {
        assertRefused(first);
    }

    // Guards against chunks whose end is read at another place than their caller meant it.
    @Test(dataProvider = "chunkLines")
    public void unclearChunkIsRefused(String name, String first) throws Exception {
        assertRefused(first);
    }

    // Guards against a head in which another reader sees other headers.
    @Test(dataProvider = "heads")
    public void unclearHeadIsRefused(String name, String first) throws Exception {
        assertRefused(first);
    }

    @DataProvider
    public Object[][] upgrades() {
        return new Object[][] {
            {"length beside chunks", "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n" + EMPTY_CHUNKS},
            {"bytes behind the data of a chunk", "transfer-encoding: chunked\r\n\r\n1\r\nab\r\n" + EMPTY_CHUNKS},
        };
    }

    // Guards against an upgrade to HTTP/2 that carries such a request past its refusal.
    @Test(dataProvider = "upgrades")
    public void unclearRequestDoesNotUpgrade(String name, String framingAndBody) throws Exception {
        assertRefused("POST /first HTTP/1.1\r\nhost: a\r\nupgrade: h2c\r\nconnection: upgrade, http2-settings\r\n"
                + "http2-settings: AAMAAABkAAQAAP__\r\n" + framingAndBody);
    }

    // Guards against a refusal that overtakes, or takes away, the answer to a sound request before it.
    @Test
    public void soundRequestBeforeItIsAnswered() throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send("POST /sound HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok"
                    + "POST /first HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n" + SECOND);
            assertTrue(caller.answer().startsWith("HTTP/1.1 200 "));
            assertTrue(caller.answer().startsWith("HTTP/1.1 400 "));
            assertEquals(caller.rest(), "");
        }
        assertEquals(List.copyOf(served), List.of("/sound ok"));
    }

    @DataProvider
    public Object[][] sound() {
        return new Object[][] {
            {
                "chunks with extensions and trailers",
                "5;a=b;c=\"d\"\r\nhello\r\n3\r\n yo\r\n0;last\r\nx: y\r\n\r\n",
                "hello yo"
            },
            {"leading zeros", "0005\r\nhello\r\n000\r\n\r\n", "hello"},
            {"space before an extension", "5 ; a\r\nhello\r\n0\r\n\r\n", "hello"},
            {"capital digits", "A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n", "01234567890123456789"},
            {"no data", "0\r\n\r\n", ""},
        };
    }

    // Guards against a refusal of what sound callers send, however it is cut.
    @Test(dataProvider = "sound")
    public void soundChunksAreServed(String name, String body, String content) throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            String whole = "POST /a HTTP/1.1\r\nhost: a\r\nTransfer-Encoding: Chunked\r\n\r\n" + body + SECOND;
            for (int i = 0; i < whole.length(); i++) {
                caller.send(whole.substring(i, i + 1));
            }
            assertTrue(caller.answer().startsWith("HTTP/1.1 200 "));
            assertTrue(caller.answer().startsWith("HTTP/1.1 200 "));
            assertEquals(caller.rest(), "");
        }
        assertEquals(List.copyOf(served), List.of("/a " + content, "/second {}"));
    }

    // Guards against a refusal of many sound requests in one write, and of large bodies.
    @Test
    public void pipelinedAndLargeRequestsAreServed() throws Exception {
        String large = "b".repeat(500_000);
        String chunk = Integer.toHexString(large.length()) + "\r\n" + large + "\r\n0\r\n\r\n";
        String request = "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" + chunk
                + "POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: " + large.length() + "\r\n\r\n" + large
                + CallerSocket.get("/c");
        try (CallerSocket caller = new CallerSocket(port)) {
            caller.send(request.repeat(2) + SECOND);
            for (int i = 0; i < 7; i++) {
                assertTrue(caller.answer().startsWith("HTTP/1.1 200 "));
            }
            assertEquals(caller.rest(), "");
        }
        List<String> one = List.of("/a " + large, "/b " + large, "/c ");
        assertEquals(List.copyOf(served).subList(0, 3), one);
        assertEquals(served.size(), 7);
    }

    private void assertRefused(String first) throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            String answer = caller.send(first + SECOND).answer();
            assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
            assertTrue(answer.contains("connection: close\r\n"), answer);
            assertTrue(answer.contains("\"class\":\"not run\""), answer);
            assertEquals(caller.rest(), "");
        }
        assertEquals(List.copyOf(served), List.of());
    }
}
