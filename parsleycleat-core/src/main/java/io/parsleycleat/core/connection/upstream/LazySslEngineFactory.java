package io.parsleycleat.core.connection.upstream;

import java.util.concurrent.atomic.AtomicReference;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLException;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.SslEngineFactory;
import org.asynchttpclient.netty.ssl.DefaultSslEngineFactory;
import org.jspecify.annotations.Nullable;

/**
 * Prepares TLS at the first connection that uses it, since reading the trusted certificates would make up a good part
 * of a
 * process's start.
 *
 * <p>Created by {@link HttpClients} for each client; safe to share between threads.
 */
final class LazySslEngineFactory implements SslEngineFactory {
    private final AtomicReference<@Nullable SslEngineFactory> prepared = new AtomicReference<>();

    @Override
    public SSLEngine newSslEngine(AsyncHttpClientConfig config, String peerHost, int peerPort) {
        return prepared(config).newSslEngine(config, peerHost, peerPort);
    }

    @Override
    public void destroy() {
        SslEngineFactory current = prepared.get();
        if (current != null) {
            current.destroy();
        }
    }

    private SslEngineFactory prepared(AsyncHttpClientConfig config) {
        SslEngineFactory current = prepared.get();
        if (current != null) {
            return current;
        }
        DefaultSslEngineFactory created = new DefaultSslEngineFactory();
        try {
            created.init(config);
        } catch (SSLException e) {
            throw new IllegalStateException("TLS cannot be prepared", e);
        }
        prepared.compareAndSet(null, created);
        return created;
    }
}
