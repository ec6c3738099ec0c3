package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.process.result.Refusal;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/**
 * Hands out permits for loads from the weight store.
 *
 * <p>One a side, called for each load; implementations are safe to share between threads.
 */
@FunctionalInterface
public interface LoadGate {
    /** Permits every load at once. */
    LoadGate OPEN = priority -> CompletableFuture.completedFuture(Either.right(() -> {}));

    /** Asks for a permit and completes with the action that gives it back, or says when to come back. */
    CompletableFuture<Either<Refusal, Runnable>> acquire(LoadPriority priority);
}
