package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.gateway.version.routes.AdapterId;
import java.util.Map;
import java.util.Set;

/**
 * What an engine says of itself. Immutable.
 *
 * @param born Unix milliseconds of its start
 * @param orders how many orders it has accepted since its start
 * @param busy whether it loads or unloads a model
 * @param models base models that it holds
 * @param adapters version by adapter that it holds
 * @param coming version by adapter that is on its way to it
 * @param memoryTokens memory for prompts and answers
 */
public record EngineReport(
        long born,
        long orders,
        boolean busy,
        Set<String> models,
        Map<AdapterId, Long> adapters,
        Map<AdapterId, Long> coming,
        int running,
        int waiting,
        long memoryTokens) {
    public EngineReport {
        models = Set.copyOf(models);
        adapters = Map.copyOf(adapters);
        coming = Map.copyOf(coming);
    }
}
