package io.parsleycleat.core.connection.upstream;

import java.util.concurrent.CompletableFuture;

/**
 * A plain service as its side uses it.
 *
 * <p>One for each side; implementations are safe to share between threads.
 */
public interface PlainService {
    /** Completes when the service answers a health check. */
    CompletableFuture<Void> check();

    /** Sends a request. The first byte that is handed to the service is the request's point of no return. */
    void call(ServiceRequest request, ServiceAnswer answer);
}
