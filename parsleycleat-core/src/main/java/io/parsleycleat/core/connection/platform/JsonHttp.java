package io.parsleycleat.core.connection.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.parsleycleat.core.connection.upstream.LimitedAnswer;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.PlatformException;
import io.parsleycleat.core.process.result.ResultCode;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/**
 * Calls a JSON service over HTTP.
 *
 * <p>Created for each platform service; safe to share between threads.
 */
final class JsonHttp {
    static final ObjectMapper MAPPER = new ObjectMapper();
    /** The largest answers are a thousand records of a log. */
    private static final long MAX_ANSWER_BYTES = 64L * 1024 * 1024;

    private static final int STATUS_OK = 200;
    private static final int STATUS_MULTIPLE_CHOICES = 300;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int STATUS_GONE = 410;

    private final AsyncHttpClient http;
    private final URI base;
    private final ResultCode outage;

    JsonHttp(AsyncHttpClient http, URI base, ResultCode outage) {
        this.http = http;
        this.base = base;
        this.outage = outage;
    }

    CompletableFuture<JsonNode> get(String path, Duration timeout) {
        return execute(new RequestBuilder("GET").setUrl(base + path), path, timeout);
    }

    /** A JSON answer with the tag by which an unchanged one is recognized; an empty tag stands for none. */
    record Tagged(JsonNode body, String tag) {}

    /** Reads a resource, or nothing when it still has the given tag. */
    CompletableFuture<Optional<Tagged>> getIfChanged(String path, String tag, Duration timeout) {
        RequestBuilder request = new RequestBuilder("GET").setUrl(base + path);
        if (!tag.isEmpty()) {
            request.setHeader("If-None-Match", tag);
        }
        return send(request, path, timeout).thenApply(response -> {
            if (response.getStatusCode() == STATUS_NOT_MODIFIED) {
                return Optional.empty();
            }
            String newTag = response.getHeader("ETag");
            return Optional.of(new Tagged(parse(path, response), newTag == null ? "" : newTag));
        });
    }

    CompletableFuture<JsonNode> post(String path, JsonNode body, Duration timeout) {
        RequestBuilder request = new RequestBuilder("POST")
                .setUrl(base + path)
                .setHeader("Content-Type", "application/json")
                .setBody(body.toString());
        return execute(request, path, timeout);
    }

    PlatformException malformed(String path, String detail) {
        return new PlatformException(ResultCode.PLATFORM_ANSWER_MALFORMED, detail, new Location(base.toString(), path));
    }

    private CompletableFuture<JsonNode> execute(RequestBuilder request, String path, Duration timeout) {
        return send(request, path, timeout).thenApply(response -> parse(path, response));
    }

    private CompletableFuture<Response> send(RequestBuilder request, String path, Duration timeout) {
        RequestBuilder bounded = request.setRequestTimeout(timeout).setReadTimeout(timeout);
        return LimitedAnswer.of(http, bounded.build(), MAX_ANSWER_BYTES).handle((response, failure) -> {
            if (failure != null) {
                throw new PlatformException(
                        outage, String.valueOf(failure.getMessage()), new Location(base.toString(), path));
            }
            return response;
        });
    }

    private JsonNode parse(String path, Response response) {
        int status = response.getStatusCode();
        boolean understood = (status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES) || status == STATUS_GONE;
        if (!understood) {
            throw new PlatformException(outage, "HTTP status " + status, new Location(base.toString(), path));
        }
        try {
            return MAPPER.readTree(response.getResponseBody());
        } catch (JsonProcessingException e) {
            throw malformed(path, e.getOriginalMessage());
        }
    }
}
