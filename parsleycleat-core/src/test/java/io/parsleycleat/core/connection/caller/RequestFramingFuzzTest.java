package io.parsleycleat.core.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Sends generated requests with a second one behind each, half of them with one fault in their framing. A sound one is
 * served as it was meant, and the second one too; of a faulty one nothing is served, whatever stands in its body.
 */
public class RequestFramingFuzzTest extends CallerServerFixture {
    /** How many requests are sent; raised by hand with -Dframing.seeds. */
    private static final int SEEDS = Integer.getInteger("framing.seeds", 1_500);

    private static final CallerLimits LIMITS =
            new CallerLimits(4_096, 100_000, 100, Duration.ofSeconds(20), Duration.ofSeconds(60));
    private static final String SECOND =
            "POST /second HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
    private static final List<String> TEXTS = List.of(
            "draft", "0\r\n\r\n", "\r\n", "\n", SECOND, "5\r\n", "content-length: 3\r\n", "\0\377", "x".repeat(300));
    private static final List<String> FAULTY_CODINGS = List.of(
            "gzip",
            "identity",
            "gzip, chunked",
            "chunked, gzip",
            "chunked, chunked",
            "xchunked",
            "\"chunked\"",
            "",
            "chunked;q=1",
            "\u000bchunked",
            ",chunked");
    private static final List<String> FAULTY_SIZES =
            List.of("+%s", "-%s", "0x%s", "%s 1", "1%016d%s", "", "g%s", " %s");
    private static final Pattern LINE_END = Pattern.compile("\r\n");

    private final List<String> served = Collections.synchronizedList(new ArrayList<>());

    @BeforeMethod
    public void listen() {
        listen(() -> LIMITS, (request, exchange) -> {
            served.add(request.uri() + " " + request.body().toString(StandardCharsets.ISO_8859_1));
            exchange.respond(200, List.of(), ByteString.EMPTY);
        });
    }

    /** One request. The framing of a faulty one has one fault. */
    private record Sent(String bytes, String body, boolean faulty) {}

    // Guards against a request that runs although no caller sent it, and against a refusal of a sound one.
    @Test
    public void nothingRunsButWhatWasSent() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            served.clear();
            Random random = new Random(seed);
            Sent sent = random.nextBoolean() ? withLength(random) : inChunks(random);
            String answers = send(sent.bytes() + SECOND, random);
            String message = "seed " + seed + ", faulty " + sent.faulty() + ": " + sent.bytes() + "\n" + answers;
            if (sent.faulty()) {
                assertTrue(answers.startsWith("HTTP/1.1 400 "), message);
                assertEquals(answers.split("HTTP/1.1 ", -1).length, 2, message);
                assertEquals(List.copyOf(served), List.of(), message);
            } else {
                assertEquals(List.copyOf(served), List.of("/first " + sent.body(), "/second {}"), message);
            }
        }
    }

    // Requests

    private static Sent withLength(Random random) {
        String body = text(random);
        String header = name("content-length", random) + space(random) + body.length() + space(random) + "\r\n";
        int length = body.length();
        return switch (random.nextInt(8)) {
            case 0 -> new Sent(head(header + "Transfer-Encoding: chunked\r\n", random) + body, body, true);
            case 1 -> new Sent(head(header + "content-length: " + (length + 1) + "\r\n", random) + body, body, true);
            case 2 -> new Sent(head("content-length: +" + length + "\r\n", random) + body, body, true);
            case 3 -> new Sent(lineFeedOnly(head(header, random), random) + body, body, true);
            default -> new Sent(head(header, random) + body, body, false);
        };
    }

    private static Sent inChunks(Random random) {
        String header = name("transfer-encoding", random) + space(random) + "chunked" + space(random) + "\r\n";
        String first = text(random);
        String second = text(random);
        String body = first + second;
        String head = head(header, random);
        String end = "0\r\n" + (random.nextBoolean() ? "x: y\r\n" : "") + "\r\n";
        String sound = chunk(first, random) + chunk(second, random) + end;
        return switch (random.nextInt(12)) {
            case 0 -> new Sent(head(header + "Content-Length: 3\r\n", random) + sound, body, true);
            case 1 -> new Sent(
                    head("transfer-encoding: " + any(FAULTY_CODINGS, random) + "\r\n", random) + sound, "", true);
            case 2 -> new Sent(head + faultySize(first, random) + chunk(second, random) + end, body, true);
            case 3 -> new Sent(head + chunk(first + "x", first.length(), random) + end, body, true);
            case 4 -> new Sent(lineFeedOnly(head, random) + sound, body, true);
            case 5 -> new Sent(head + chunk(first, random) + lineFeedOnly(end, random), body, true);
            default -> new Sent(head + sound, body, false);
        };
    }

    private static String head(String framing, Random random) {
        String before = random.nextBoolean() ? "x-a: b\r\n" : "";
        String after = random.nextBoolean() ? "Accept:\t*/*\r\n" : "";
        return "POST /first HTTP/1.1\r\nhost: a\r\n" + before + framing + after + "\r\n";
    }

    private static String chunk(String data, Random random) {
        return chunk(data, data.length(), random);
    }

    private static String chunk(String data, int size, Random random) {
        String digits = "0".repeat(random.nextInt(3)) + Integer.toHexString(size);
        String extension = random.nextInt(4) == 0 ? ";a=\"b\"" : "";
        return digits + extension + "\r\n" + data + "\r\n";
    }

    private static String faultySize(String data, Random random) {
        String size = Integer.toHexString(data.length());
        return any(FAULTY_SIZES, random).replace("%016d", "0".repeat(16)).replace("%s", size) + "\r\n" + data + "\r\n";
    }

    /** Takes the carriage return away from one line end. */
    private static String lineFeedOnly(String text, Random random) {
        List<MatchResult> ends = LINE_END.matcher(text).results().toList();
        int at = any(ends, random).start();
        return text.substring(0, at) + text.substring(at + 1);
    }

    /** Returns a text that is not empty, since an empty chunk would be the last one. */
    private static String text(Random random) {
        return any(TEXTS, random) + any(TEXTS, random);
    }

    private static String name(String name, Random random) {
        return (random.nextBoolean() ? name.toUpperCase(java.util.Locale.ROOT) : name) + ":";
    }

    private static String space(Random random) {
        return any(List.of("", " ", "\t "), random);
    }

    private static <T> T any(List<T> values, Random random) {
        return values.get(random.nextInt(values.size()));
    }

    // Sending

    /** Sends a text in one to three pieces and returns all answers. */
    private String send(String text, Random random) throws Exception {
        try (CallerSocket caller = new CallerSocket(port)) {
            int cut = random.nextInt(text.length());
            int next = cut + random.nextInt(text.length() - cut);
            caller.send(text.substring(0, cut)).send(text.substring(cut, next)).send(text.substring(next));
            return caller.rest();
        }
    }
}
