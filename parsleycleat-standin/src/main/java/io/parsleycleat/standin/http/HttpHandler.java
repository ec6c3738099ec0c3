package io.parsleycleat.standin.http;

/** Answers HTTP requests. Called on event loops, so implementations must not block; shared between threads. */
@FunctionalInterface
public interface HttpHandler {
    /** Answers one request, now or later. */
    void handle(HttpExchange exchange);
}
