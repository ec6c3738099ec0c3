package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.gateway.version.routes.AdapterId;
import java.util.Map;
import java.util.Set;

/**
 * What an engine says of itself. Immutable.
 *
 * @param startedAtMillis Unix milliseconds of its start
 * @param acceptedOrders how many orders it has accepted since its start
 * @param modelChanging whether it loads or unloads a model
 * @param residentModels base models that it holds
 * @param residentAdapters version by adapter that it holds
 * @param loadingAdapters version by adapter that is on its way to it
 * @param memoryTokens memory for prompts and answers
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
