package io.parsleycleat.gateway.version.routes;

import java.util.List;

/**
 * The capacity of each engine of a service, and the models that it can load. Immutable.
 *
 * @param slots the number of requests that run at once
 * @param kvCacheTokens the memory for prompts and answers, in tokens
 * @param weightsMegabytes the memory for the weights of models and adapters together
 * @param adapterSlots the number of adapters that are loaded or being loaded at once
 * @param tokensPerEvent the number of output tokens in one event of a stream
 * @param loadsPerSecond the model loads that the weight store allows, over all engines
 */
public record EngineSpec(
        int slots,
        int kvCacheTokens,
        double weightsMegabytes,
        int adapterSlots,
        int tokensPerEvent,
        double loadsPerSecond,
        List<ModelSpec> models) {
    public EngineSpec {
        models = List.copyOf(models);
    }

    /** Returns how many adapters fit, by slots and by memory. */
    public int maxResidentAdapters() {
        ModelSpec model = models.isEmpty() ? null : models.get(0);
        if (model == null || models.size() > 1 || model.adapterMegabytes() <= 0) {
            return adapterSlots;
        }
        double free = weightsMegabytes - model.weightsMegabytes();
        return Math.min(adapterSlots, (int) Math.floor(free / model.adapterMegabytes()));
    }
}
