package io.parsleycleat.standin.upstream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.parsleycleat.core.connection.upstream.HttpClients;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;

/**
 * Fetches adapters' weights from the weight store.
 *
 * <p>Created by {@link ModelEngineStandIn}; safe to share between threads.
 */
final class WeightLoader implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int STATUS_OK = 200;

    private final EventLoopGroup loops = new NioEventLoopGroup(1, new DefaultThreadFactory("weights", true));
    private final AsyncHttpClient http = HttpClients.create(loops);
    private final URI store;

    WeightLoader(URI store) {
        this.store = store;
    }

    /** Completes when the weights are here. */
    CompletableFuture<Void> fetch(String model) {
        RequestBuilder request = new RequestBuilder("GET")
                .setUrl(store + "/weights/" + model)
                .setRequestTimeout(TIMEOUT)
                .setReadTimeout(TIMEOUT);
        return http.executeRequest(request).toCompletableFuture().thenAccept(response -> {
            if (response.getStatusCode() != STATUS_OK) {
                throw new IllegalStateException("weight store answered status " + response.getStatusCode());
            }
        });
    }

    @Override
    public void close() {
        try {
            http.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
