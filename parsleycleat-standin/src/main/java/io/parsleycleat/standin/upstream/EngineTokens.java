package io.parsleycleat.standin.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;

/**
 * The tokens that a model engine stand-in generates: a function of adapter, version, prompt and index, so that a test
 * can tell whether a whole answer came from the right adapter and version. Stateless.
 */
public final class EngineTokens {
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int MIN_TOKENS = 4;
    private static final int TOKEN_SPREAD = 120;
    private static final long HASH_START = 0xcbf29ce484222325L;
    private static final long HASH_FACTOR = 0x100000001b3L;

    private EngineTokens() {}

    /** Returns the prompt of a request in either form, completion or chat. */
    public static String prompt(JsonNode request) {
        if (request.path("prompt").isTextual()) {
            return request.path("prompt").asText();
        }
        return StreamSupport.stream(request.path("messages").spliterator(), false)
                .map(m -> m.path("role").asText() + ": " + m.path("content").asText())
                .collect(Collectors.joining("\n"));
    }

    /** Returns the number of tokens of a prompt. */
    public static int promptTokens(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    /** Returns how many tokens the model would generate by itself, up to a bound. */
    public static int count(String model, String prompt, int maxTokens) {
        long hash = mix(hash(model, prompt));
        return Math.min(maxTokens, MIN_TOKENS + (int) Math.floorMod(hash, (long) TOKEN_SPREAD));
    }

    /** Returns the text of one token. */
    public static String text(String model, String prompt, long index) {
        return text(hash(model, prompt), index);
    }

    /** Returns the text of all tokens up to a number. */
    public static String answer(String model, String prompt, int count) {
        return String.join("", list(model, prompt, count));
    }

    /** Returns the tokens up to a number. */
    public static List<String> list(String model, String prompt, int count) {
        long hash = hash(model, prompt);
        return IntStream.range(0, count).mapToObj(i -> text(hash, i)).toList();
    }

    static String text(long hash, long index) {
        return " " + Long.toHexString(mix(hash + index) | Long.MIN_VALUE).substring(0, 6);
    }

    static long hash(String model, String prompt) {
        return hash(hash(HASH_START, model) * HASH_FACTOR, prompt);
    }

    static long hash(long start, String text) {
        return text.chars().asLongStream().reduce(start, (h, c) -> (h ^ c) * HASH_FACTOR);
    }

    private static long mix(long value) {
        long v = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        v = (v ^ (v >>> 27)) * 0x94d049bb133111ebL;
        return v ^ (v >>> 31);
    }
}
