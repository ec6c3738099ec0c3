package io.parsleycleat.core.connection.upstream;

import java.util.concurrent.CompletableFuture;

/**
 * A model engine as its side uses it. docs/UPSTREAMS.md states what is expected of an engine.
 *
 * <p>One for each side; implementations are safe to share between threads.
 */
public interface ModelEngine {
    /** Reads the engine's own report. */
    CompletableFuture<EngineState> state();

    /** Orders a load and completes when the adapter can run. */
    CompletableFuture<Void> load(AdapterVersion adapter, long fencingNumber);

    /** Orders an unload and completes when the slot is free. */
    CompletableFuture<Void> unload(AdapterVersion adapter, long fencingNumber);

    /** Starts a run. The first byte that is handed to the engine is the run's point of no return. */
    EngineHandle run(EngineRun run, EngineAnswer answer);

    /** Reads a run's answer again from a token on. */
    EngineHandle resume(String runId, long fromToken, EngineAnswer answer);

    /** Cancels a run. */
    CompletableFuture<Void> cancel(String runId);
}
