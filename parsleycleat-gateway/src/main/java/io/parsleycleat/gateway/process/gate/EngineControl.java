package io.parsleycleat.gateway.process.gate;

import java.util.concurrent.CompletableFuture;

/** Asks and orders the engine beside a side. Implementations are safe to share between threads. */
public interface EngineControl {
    /** Returns what the engine says of itself now. */
    CompletableFuture<EngineReport> fetchReport();

    /** Returns the id under which the engine answers now, at the path of its service's health check. */
    CompletableFuture<String> fetchEngineId(String healthPath);

    /** Gives an order; completes without failure, with {@code UNKNOWN} when there was no answer. */
    CompletableFuture<ModelOrder.Outcome> sendOrder(ModelOrder order);
}
