package io.parsleycleat.core.process.limits;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.slots.LoadPriority;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/**
 * Shares out the weight store's rate and its transits over the fleet.
 *
 * <p>One a process; implementations are safe to share between threads.
 */
@FunctionalInterface
public interface LoadPermits {
    /**
     * Asks for one load, or says when to come back. Loads for the free tier and prefetches get only what the loads
     * that paying requests wait for leave over.
     */
    CompletableFuture<Either<Refusal, LoadPermit>> acquire(LoadPriority priority);
}
