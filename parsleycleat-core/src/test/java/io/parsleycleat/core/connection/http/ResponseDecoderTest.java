package io.parsleycleat.core.connection.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ResponseDecoderTest {
    private static final String FAILED = "failed";
    private static final String SECOND = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";

    private ResponseDecoder decoder;
    private EmbeddedChannel channel;

    @BeforeMethod
    public void open() {
        decoder = new ResponseDecoder(MessageFraming.newDecoderConfig());
        channel = new EmbeddedChannel(decoder);
    }

    // Rows

    @DataProvider
    public static Object[][] statusLines() {
        Stream<String> lines = Stream.of(
                "HTTP/1.1 000 x",
                "HTTP/1.1 000",
                "HTTP/1.1 0 x",
                "HTTP/1.1 001 x",
                "HTTP/1.1 099 x",
                "HTTP/1.1 20 x",
                "HTTP/1.1 600 x",
                "HTTP/1.1 999 x",
                "HTTP/1.1 2000 x",
                "HTTP/1.1 65736 x",
                "HTTP/1.1 2147483647 x",
                "HTTP/1.1 4294967496 x",
                "HTTP/1.1 0200 x",
                "HTTP/1.1 +200 x",
                "HTTP/1.1 -200 x",
                "HTTP/1.1 -1 x",
                "HTTP/1.1 abc x",
                "HTTP/1.1 \u0662\u0660\u0660 x",
                "HTTP/1.1 2e2 x",
                "HTTP/1.1 0x200 x",
                "HTTP/1.1 x",
                "HTTP/1.1",
                "HTTP/1.1 ",
                "HTTP/9.9 200 OK",
                "HTTP/0.9 200 OK",
                "HTTP/2 200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/1.10 200 OK",
                "HTTP/11 200 OK",
                "http/1.1 200 OK",
                "HTTPS/1.1 200 OK",
                "ICY 200 OK",
                "200 OK",
                "GET / HTTP/1.1",
                "{\"status\":200}",
                "000");
        return lines.map(line -> new Object[] {line}).toArray(Object[][]::new);
    }

    @DataProvider
    public static Object[][] unclearEnds() {
        Stream<String> heads = Stream.of(
                "content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "transfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "content-length: 2\r\ntransfer-encoding: identity\r\n\r\nok",
                "content-length: 2\r\ntransfer-encoding:\r\n\r\nok",
                "transfer-encoding: gzip\r\n\r\nok",
                "transfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "transfer-encoding: chunked, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "content-length: 2\r\ncontent-length: 46\r\n\r\nok",
                "content-length: 2, 46\r\n\r\nok",
                "content-length: +2\r\n\r\nok",
                "content-length: 2x\r\n\r\nok",
                "transfer-encoding: chunked\r\n\r\n100000000\r\n\r\n",
                "transfer-encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
                "transfer-encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
                "transfer-encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n");
        return heads.map(head -> new Object[] {head}).toArray(Object[][]::new);
    }

    // Tests

    // Guards against an answer whose status is none reaching a caller.
    @Test(dataProvider = "statusLines")
    public void lineThatIsNoStatusLineFails(String line) {
        assertEquals(answer(HttpMethod.GET, line + "\r\ncontent-length: 2\r\n\r\nok"), FAILED);
    }

    // Guards against a log line that an upstream can break or fill.
    @Test
    public void failureShowsTheFirstCharactersOfTheLine() {
        decoder.expectResponseTo(HttpMethod.GET);
        channel.writeInbound(bytes("HTTP/1.1 000 \u001b[2J" + "x".repeat(1_000) + "\r\n\r\n"));
        HttpObject message = channel.readInbound();
        String shown = String.valueOf(message.decoderResult().cause().getMessage());
        assertTrue(shown.startsWith("no status line: HTTP/1.1 000 ?[2Jxxx"), shown);
        assertTrue(shown.length() < 200, shown);
    }

    // Guards against an answer whose rest is taken for that to another request.
    @Test(dataProvider = "unclearEnds")
    public void responseWhoseEndIsNotClearFails(String headAndBody) {
        String read = answer(HttpMethod.GET, "HTTP/1.1 200 OK\r\n" + headAndBody + SECOND);
        assertTrue(read.endsWith(FAILED), read);
        assertFalse(read.contains("second"), read);
    }

    // Guards against chunks in a version that has none, at whose end other readers wait for a close.
    @Test
    public void chunksInHttp10Fail() {
        String chunks = "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
        assertEquals(answer(HttpMethod.GET, chunks), FAILED);
    }

    // Guards against a response, or a part of one, that is read as the answer to a request that comes later.
    @Test
    public void bytesBehindAResponseCloseTheConnectionBeforeItsEndIsPassedOn() {
        decoder.expectResponseTo(HttpMethod.GET);
        channel.writeInbound(bytes("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" + SECOND));
        assertFalse(channel.isOpen());
        assertEquals(readAll(), "200 ok end");
    }

    // Guards against the same, if they come while no request is pending.
    @Test
    public void bytesBetweenRequestsCloseTheConnection() {
        assertEquals(answer(HttpMethod.GET, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"), "200 ok end");
        assertTrue(channel.isOpen());
        channel.writeInbound(bytes("H"));
        assertFalse(channel.isOpen());
        decoder.expectResponseTo(HttpMethod.GET);
        assertEquals(readAll(), "");
    }

    @DataProvider
    public static Object[][] faultyInterims() {
        String interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
        return new Object[][] {
            {"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n"},
            {interim.repeat(17)},
            {"HTTP/1.1 103 Early Hints\r\ntransfer-encoding: gzip\r\n\r\n"},
            {interim + "HTTP/1.1 000 x\r\n\r\n"},
            {interim + "x".repeat(10_000) + "\r\n"},
        };
    }

    // Guards against a failure that is passed over together with what announces a response.
    @Test(dataProvider = "faultyInterims")
    public void faultyInterimResponseFails(String responses) {
        assertEquals(answer(HttpMethod.GET, responses + SECOND), FAILED);
    }

    @DataProvider
    public static Object[][] sound() {
        String chunks = "2;a=b\r\nok\r\n0\r\nx: y\r\n\r\n";
        return new Object[][] {
            {HttpMethod.GET, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "200 ok end"},
            {HttpMethod.GET, "HTTP/1.1 200\r\ncontent-length: 2\r\n\r\nok", "200 ok end"},
            {HttpMethod.GET, "HTTP/1.1 200 \r\ntransfer-encoding: Chunked\r\n\r\n" + chunks, "200 ok end"},
            {HttpMethod.GET, "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok", "200 ok end"},
            {HttpMethod.GET, "HTTP/1.1 599 Own reason\r\ncontent-length: 0\r\n\r\n", "599 end"},
            {HttpMethod.GET, "HTTP/1.1 204 No Content\r\n\r\n", "204 end"},
            {HttpMethod.GET, "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n", "304 end"},
            {HttpMethod.HEAD, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", "200 end"},
            {HttpMethod.HEAD, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "200 end"},
            {HttpMethod.GET, "HTTP/1.1 103 Early Hints\r\n\r\n" + SECOND, "200 second end"},
            {HttpMethod.GET, "HTTP/1.1 100 Continue\r\n\r\n" + SECOND, "200 second end"},
        };
    }

    // Guards against a failure of what sound servers send, cut at any byte.
    @Test(dataProvider = "sound")
    public void soundResponseIsRead(HttpMethod method, String response, String expected) {
        for (int cut = 0; cut < response.length(); cut++) {
            decoder.expectResponseTo(method);
            channel.writeInbound(bytes(response.substring(0, cut)));
            channel.writeInbound(bytes(response.substring(cut)));
            assertEquals(readAll(), expected, "cut after " + cut + " bytes");
            assertTrue(channel.isOpen());
        }
    }

    // Helpers

    private static Object bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private String answer(HttpMethod method, String response) {
        decoder.expectResponseTo(method);
        channel.writeInbound(bytes(response));
        return readAll();
    }

    /** Returns what was decoded: statuses, bodies, ends and failures. */
    private String readAll() {
        return Stream.generate(() -> channel.<HttpObject>readInbound())
                .takeWhile(Objects::nonNull)
                .map(ResponseDecoderTest::describe)
                .collect(Collectors.joining())
                .strip()
                .replaceAll(" +", " ");
    }

    private static String describe(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            return " " + FAILED;
        }
        String status = message instanceof HttpResponse response
                ? " " + response.status().code() + " "
                : "";
        String content = message instanceof HttpContent part ? part.content().toString(StandardCharsets.UTF_8) : "";
        return status + content + (message instanceof LastHttpContent ? " end" : "");
    }
}
