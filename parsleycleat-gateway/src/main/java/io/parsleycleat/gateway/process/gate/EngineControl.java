package io.parsleycleat.gateway.process.gate;

import java.util.concurrent.CompletableFuture;

/** Client for the control interface of the engine that a side serves. Implementations are thread-safe. */
public interface EngineControl {
    /** Fetches the engine's current report. */
    CompletableFuture<EngineReport> fetchReport();

    /** Fetches the engine's current id from the health check path of its service. */
    CompletableFuture<String> fetchEngineId(String healthPath);

    /** Sends an order. The future never fails; it completes with {@code UNKNOWN} when the engine does not answer. */
    CompletableFuture<ModelOrder.Outcome> sendOrder(ModelOrder order);
}
