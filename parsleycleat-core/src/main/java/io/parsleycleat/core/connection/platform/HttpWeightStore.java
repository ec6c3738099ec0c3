package io.parsleycleat.core.connection.platform;

import io.parsleycleat.core.process.result.ResultCode;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;

/**
 * The weight store over HTTP, as docs/PLATFORM.md describes it.
 *
 * <p>One a process; safe to share between threads.
 */
public final class HttpWeightStore implements WeightStore {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final String PATH = "/limits";

    private final JsonHttp http;

    /** Creates a client of the store at an address. */
    public HttpWeightStore(AsyncHttpClient http, URI base) {
        this.http = new JsonHttp(http, base, ResultCode.WEIGHT_STORE_OUT);
    }

    @Override
    public CompletableFuture<WeightStoreLimits> limits() {
        return http.get(PATH, TIMEOUT).thenApply(answer -> {
            try {
                return new WeightStoreLimits(
                        answer.path("loadsPerSecond").asDouble(),
                        answer.path("fullSpeedTransits").asInt(),
                        answer.path("transits").asInt());
            } catch (IllegalArgumentException e) {
                throw http.malformed(PATH, String.valueOf(e.getMessage()));
            }
        });
    }
}
