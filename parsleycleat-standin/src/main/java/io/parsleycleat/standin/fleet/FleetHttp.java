package io.parsleycleat.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.parsleycleat.core.connection.upstream.HttpClients;
import io.parsleycleat.standin.http.Json;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/**
 * Calls the control interfaces of stand-ins and the admin addresses of daemons.
 *
 * <p>Created by {@link Fleet}; safe to share between threads.
 */
public final class FleetHttp implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int STATUS_OK = 200;

    private final EventLoopGroup loops = new NioEventLoopGroup(2, new DefaultThreadFactory("fleet", true));
    private final AsyncHttpClient http = HttpClients.create(loops);

    /** Returns the client itself. */
    public AsyncHttpClient client() {
        return http;
    }

    /** Returns the JSON at an address. */
    public JsonNode get(URI uri) {
        return json(call(new RequestBuilder("GET").setUrl(uri.toString())).join(), uri);
    }

    /** Sends JSON to an address and returns the JSON that it answers. */
    public JsonNode send(String method, URI uri, JsonNode body) {
        RequestBuilder request =
                new RequestBuilder(method).setUrl(uri.toString()).setBody(body.toString());
        return json(call(request).join(), uri);
    }

    /** Completes when an address answers with status 200, and fails when it does not within the time. */
    public CompletableFuture<Void> awaitOk(URI uri, Duration timeout) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        poll(uri, done);
        return done.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        try {
            http.close();
        } catch (IOException e) {
            throw new FleetException("the HTTP client cannot be closed", e);
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private void poll(URI uri, CompletableFuture<Void> done) {
        call(new RequestBuilder("GET").setUrl(uri.toString())).whenComplete((response, failure) -> {
            if (failure == null && response.getStatusCode() == STATUS_OK) {
                done.complete(null);
            } else if (!done.isDone()) {
                loops.schedule(() -> poll(uri, done), POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            }
        });
    }

    private CompletableFuture<Response> call(RequestBuilder request) {
        return http.executeRequest(request.setRequestTimeout(TIMEOUT).setReadTimeout(TIMEOUT))
                .toCompletableFuture();
    }

    private static JsonNode json(Response response, URI uri) {
        if (response.getStatusCode() != STATUS_OK) {
            throw new CompletionException(new FleetException(
                    uri + " answered " + response.getStatusCode() + " " + response.getResponseBody()));
        }
        return Json.parse(response.getResponseBody());
    }
}
