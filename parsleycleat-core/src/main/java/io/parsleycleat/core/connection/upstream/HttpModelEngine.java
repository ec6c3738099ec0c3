package io.parsleycleat.core.connection.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.result.UpstreamException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/**
 * A model engine over HTTP, as docs/UPSTREAMS.md describes it.
 *
 * <p>One for each side; safe to share between threads. A run is never sent twice by this class.
 */
public final class HttpModelEngine implements ModelEngine {
    static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);
    /** A state lists the adapters that are loaded, a refusal tells its reason. */
    private static final long MAX_ANSWER_BYTES = 4L * 1024 * 1024;

    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;

    private final AsyncHttpClient http;
    private final URI base;
    private final Duration runTimeout;

    /** Creates a client of the engine at an address. */
    public HttpModelEngine(AsyncHttpClient http, URI base, Duration runTimeout) {
        this.http = http;
        this.base = base;
        this.runTimeout = runTimeout;
    }

    // Reports and orders

    @Override
    public CompletableFuture<EngineState> state() {
        return execute(new RequestBuilder("GET").setUrl(base + "/v1/state"), REPORT_TIMEOUT)
                .thenApply(this::parseState);
    }

    @Override
    public CompletableFuture<Void> load(AdapterVersion adapter, long fencingNumber) {
        return order("/v1/adapters/load", adapter, fencingNumber);
    }

    @Override
    public CompletableFuture<Void> unload(AdapterVersion adapter, long fencingNumber) {
        return order("/v1/adapters/unload", adapter, fencingNumber);
    }

    @Override
    public CompletableFuture<Void> cancel(String runId) {
        return execute(new RequestBuilder("DELETE").setUrl(base + "/v1/runs/" + runId), REPORT_TIMEOUT)
                .thenAccept(response -> {});
    }

    // Runs

    @Override
    public EngineHandle run(EngineRun run, EngineAnswer answer) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("runId", run.runId());
        body.put("model", run.adapter().label());
        body.put("chat", run.chat());
        body.put("maxTokens", run.maxTokens());
        body.put("priority", run.priority());
        body.set("request", parse(run.bodyJson()));
        RequestBuilder request = new RequestBuilder("POST")
                .setUrl(base + "/v1/runs")
                .setHeader("Content-Type", "application/json")
                .setBody(body.toString());
        return stream(request, answer);
    }

    @Override
    public EngineHandle resume(String runId, long fromToken, EngineAnswer answer) {
        return stream(new RequestBuilder("GET").setUrl(base + "/v1/runs/" + runId + "?from=" + fromToken), answer);
    }

    // Internals

    private EngineHandle stream(RequestBuilder request, EngineAnswer answer) {
        request.setRequestTimeout(runTimeout).setReadTimeout(runTimeout);
        EngineStreamReader reader = new EngineStreamReader(base.toString(), answer);
        reader.watch(http.executeRequest(request, reader));
        return reader::detach;
    }

    private CompletableFuture<Void> order(String path, AdapterVersion adapter, long fencingNumber) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("adapter", adapter.adapterId());
        body.put("version", adapter.version());
        body.put("fencingNumber", fencingNumber);
        RequestBuilder request = new RequestBuilder("POST")
                .setUrl(base + path)
                .setHeader("Content-Type", "application/json")
                .setBody(body.toString());
        return execute(request, ORDER_TIMEOUT).thenAccept(response -> checkOrder(path, response));
    }

    private void checkOrder(String path, Response response) {
        int status = response.getStatusCode();
        if (status == STATUS_CONFLICT) {
            throw failure(ResultCode.ORDER_FENCED, path, response.getResponseBody());
        }
        if (status != STATUS_OK) {
            throw failure(ResultCode.LOAD_FAILED, path, "HTTP status " + status + " " + response.getResponseBody());
        }
    }

    private EngineState parseState(Response response) {
        JsonNode node = parse(response.getResponseBody());
        if (response.getStatusCode() != STATUS_OK || !node.path("incarnation").isTextual()) {
            throw failure(ResultCode.UPSTREAM_OUT, "/v1/state", "HTTP status " + response.getStatusCode());
        }
        return new EngineState(
                node.path("incarnation").asText(),
                node.path("baseModel").asText(),
                node.path("slots").asInt(),
                node.path("batchSize").asInt(),
                StreamSupport.stream(node.path("loaded").spliterator(), false)
                        .map(a -> new AdapterVersion(
                                a.path("adapter").asText(), a.path("version").asText()))
                        .collect(Collectors.toSet()),
                node.path("running").asInt(),
                node.path("waiting").asInt());
    }

    private CompletableFuture<Response> execute(RequestBuilder request, Duration timeout) {
        RequestBuilder bounded = request.setRequestTimeout(timeout).setReadTimeout(timeout);
        return LimitedAnswer.of(http, bounded.build(), MAX_ANSWER_BYTES).handle((response, failure) -> {
            if (failure != null) {
                throw failure(ResultCode.UPSTREAM_OUT, "", String.valueOf(failure.getMessage()));
            }
            return response;
        });
    }

    private JsonNode parse(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw failure(ResultCode.UPSTREAM_OUT, "", "not JSON: " + e.getOriginalMessage());
        }
    }

    private UpstreamException failure(ResultCode code, String path, String detail) {
        return new UpstreamException(code, detail, new Location(base.toString(), path));
    }
}
