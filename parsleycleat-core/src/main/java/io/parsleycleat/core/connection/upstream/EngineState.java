package io.parsleycleat.core.connection.upstream;

import java.util.Objects;
import java.util.Set;

/** What a model engine reports of itself. Reports lag behind. */
public record EngineState(
        String incarnation,
        String baseModel,
        int slots,
        int batchSize,
        Set<AdapterVersion> loaded,
        int running,
        int waiting) {
    public EngineState {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(baseModel, "baseModel");
        loaded = Set.copyOf(loaded);
    }
}
