package io.parsleycleat.core.connection.caller;

/** Answers callers' requests. Called on the connection's event loop, so it must not block. */
@FunctionalInterface
public interface CallerService {
    /** Answers a request, now or later. */
    void handle(CallerRequest request, CallerExchange exchange);
}
