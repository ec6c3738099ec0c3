package io.parsleycleat.core.connection.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.process.result.Refusal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Writes refusals as JSON, with the HTTP status and Retry-After that agree with them. Stateless. */
public final class ErrorAnswer {
    /** Content type of JSON answers. */
    public static final Map.Entry<String, String> JSON_CONTENT = Map.entry("content-type", "application/json");

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    private ErrorAnswer() {}

    /** Sends a refusal as the whole answer. */
    public static void send(CallerExchange exchange, String requestId, Refusal refusal) {
        exchange.respond(
                refusal.code().httpStatus(),
                headers(requestId, refusal),
                ByteString.copyFromUtf8(body(requestId, refusal)));
    }

    /** Returns the headers that go with the JSON text of a refusal. */
    static List<Map.Entry<String, String>> headers(String requestId, Refusal refusal) {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        headers.add(JSON_CONTENT);
        headers.add(Map.entry("x-request-id", requestId));
        refusal.retry().ifPresent(retry -> headers.add(Map.entry("retry-after", seconds(retry.toMillis()))));
        return headers;
    }

    /** Returns the JSON text of a refusal. */
    public static String body(String requestId, Refusal refusal) {
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("code", refusal.code().number());
        error.put("name", refusal.code().name());
        error.put("class", refusal.code().resultClass().label());
        error.put("message", refusal.detail());
        error.put("request_id", requestId);
        refusal.retry().ifPresent(retry -> error.put("retry_after_millis", retry.toMillis()));
        return root.toString();
    }

    private static String seconds(long millis) {
        return Long.toString(Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
    }
}
