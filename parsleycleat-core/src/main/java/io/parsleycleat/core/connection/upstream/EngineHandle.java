package io.parsleycleat.core.connection.upstream;

/** A run in progress on a model engine. Safe to share between threads. */
@FunctionalInterface
public interface EngineHandle {
    /** Stops reading the answer; the run itself goes on until it is cancelled at the engine. */
    void detach();
}
