package io.parsleycleat.core.connection.platform;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's rate-limited store of adapter weights. Engines fetch from it when they are told to load.
 *
 * <p>One a process; implementations are safe to share between threads.
 */
public interface WeightStore {
    /** Reads what the store allows. */
    CompletableFuture<WeightStoreLimits> limits();
}
