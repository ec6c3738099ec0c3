package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.gateway.version.routes.AdapterId;
import java.util.Map;
import java.util.Set;

/**
 * State of a model engine as reported by the engine. Immutable.
 *
 * @param startedAtMillis start time of the engine in Unix milliseconds
 * @param acceptedOrders number of orders accepted since the engine's start
 * @param modelChanging whether a base model is being loaded or unloaded
 * @param residentModels names of the resident base models
 * @param residentAdapters version of each resident adapter
 * @param loadingAdapters version of each adapter that is being loaded
 * @param runningRequests number of requests that run on the engine
 * @param waitingRequests number of requests in the engine's own queue
 * @param memoryTokens capacity for prompts and answers in tokens
 */
public record EngineReport(
        long startedAtMillis,
        long acceptedOrders,
        boolean modelChanging,
        Set<String> residentModels,
        Map<AdapterId, Long> residentAdapters,
        Map<AdapterId, Long> loadingAdapters,
        int runningRequests,
        int waitingRequests,
        long memoryTokens) {
    public EngineReport {
        residentModels = Set.copyOf(residentModels);
        residentAdapters = Map.copyOf(residentAdapters);
        loadingAdapters = Map.copyOf(loadingAdapters);
    }
}
