package io.parsleycleat.core.connection.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.process.result.LogTrimmedException;
import io.parsleycleat.core.process.result.ResultCode;
import java.net.URI;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.StreamSupport;
import org.asynchttpclient.AsyncHttpClient;

/**
 * The log over HTTP, as docs/PLATFORM.md describes it.
 *
 * <p>One a process; safe to share between threads.
 */
public final class HttpLogClient implements LogClient {
    private static final Duration MARGIN = Duration.ofSeconds(2);

    private final JsonHttp http;

    /** Creates a client of the log at an address. */
    public HttpLogClient(AsyncHttpClient http, URI base) {
        this.http = new JsonHttp(http, base, ResultCode.LOG_OUT);
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<ByteString> values) {
        String path = "/streams/" + stream + "/records";
        ObjectNode body = JsonHttp.MAPPER.createObjectNode();
        ArrayNode records = body.putArray("records");
        values.forEach(v -> records.add(Base64.getEncoder().encodeToString(v.toByteArray())));
        return http.post(path, body, MARGIN).thenApply(answer -> longField(path, answer, "firstOffset"));
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long fromOffset, int limit, Duration wait) {
        String path = "/streams/" + stream + "/records";
        String query = "?from=" + fromOffset + "&limit=" + limit + "&waitMillis=" + wait.toMillis();
        return http.get(path + query, wait.plus(MARGIN)).thenApply(answer -> page(stream, path, fromOffset, answer));
    }

    private LogPage page(String stream, String path, long fromOffset, JsonNode answer) {
        long earliest = longField(path, answer, "earliestOffset");
        if (fromOffset < earliest) {
            throw new LogTrimmedException(stream, fromOffset, earliest);
        }
        List<LogEntry> entries = StreamSupport.stream(answer.path("records").spliterator(), false)
                .map(r -> entry(path, r))
                .toList();
        return new LogPage(earliest, longField(path, answer, "endOffset"), entries);
    }

    private LogEntry entry(String path, JsonNode node) {
        try {
            byte[] value = Base64.getDecoder().decode(node.path("value").asText());
            return new LogEntry(
                    longField(path, node, "offset"), longField(path, node, "timeMillis"), ByteString.copyFrom(value));
        } catch (IllegalArgumentException e) {
            throw http.malformed(path, "a record is not base64");
        }
    }

    private long longField(String path, JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber()) {
            throw http.malformed(path, "no number " + name);
        }
        return value.longValue();
    }
}
