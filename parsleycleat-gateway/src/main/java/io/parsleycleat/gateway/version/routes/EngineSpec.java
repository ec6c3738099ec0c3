package io.parsleycleat.gateway.version.routes;

import java.util.List;

/**
 * What the engines of a service can hold and run. Immutable.
 *
 * @param slots requests that run at once
 * @param kvCacheTokens memory for prompts and answers
 * @param weightsMegabytes memory for models and adapters together
 * @param adapterSlots adapters that are held or on their way at once
 * @param tokensPerEvent output tokens that one event of a stream holds
 * @param loadsPerSecond loads of models that the weight store allows, over all engines
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

    /** Returns how many adapters fit, by places and by memory. */
    public int maxResidentAdapters() {
        ModelSpec model = models.isEmpty() ? null : models.get(0);
        if (model == null || models.size() > 1 || model.adapterMegabytes() <= 0) {
            return adapterSlots;
        }
        double free = weightsMegabytes - model.weightsMegabytes();
        return Math.min(adapterSlots, (int) Math.floor(free / model.adapterMegabytes()));
    }
}
