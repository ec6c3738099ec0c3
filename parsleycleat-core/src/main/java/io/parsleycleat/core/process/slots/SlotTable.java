package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import java.util.concurrent.CompletableFuture;

/**
 * Decides which adapter versions a model engine holds.
 *
 * <p>One for each side of a model engine; implementations are safe to share between threads.
 */
public interface SlotTable {
    /**
     * Pins an adapter version, loading it first when needed. Simultaneous calls share one load. Fails with a
     * {@code RequestException} of class "not run" when it cannot be loaded.
     */
    CompletableFuture<Pin> pin(AdapterVersion adapter, LoadPriority priority);

    /** Pins an adapter version for an account, until a deadline. */
    default CompletableFuture<Pin> pin(PinRequest request) {
        return pin(request.adapter(), request.priority());
    }
}
