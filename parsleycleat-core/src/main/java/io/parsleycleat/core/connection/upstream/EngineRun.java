package io.parsleycleat.core.connection.upstream;

import java.util.Objects;

/** A completion that a model engine is asked to run. The body is the caller's JSON without the model's name. */
public record EngineRun(
        String runId, AdapterVersion adapter, boolean chat, String bodyJson, int maxTokens, int priority) {
    /** Priority of paying callers. Lower numbers run first. */
    public static final int PRIORITY_PAYING = 0;

    /** Priority of the free tier. */
    public static final int PRIORITY_FREE = 10;

    public EngineRun {
        Objects.requireNonNull(runId, "runId");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(bodyJson, "bodyJson");
    }
}
