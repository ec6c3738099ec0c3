package io.parsleycleat.standin.upstream;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * The adapters that an engine holds or loads, each in one slot.
 *
 * <p>Created by {@link ModelEngineStandIn}; every method holds the slots' lock, but what waits for a load is told of
 * its end without it.
 */
final class AdapterSlots {
    private final int limit;
    private final Function<String, CompletableFuture<Void>> fetch;
    private final Map<String, CompletableFuture<Boolean>> held = new LinkedHashMap<>();
    private final Set<String> ready = new HashSet<>();

    /**
     * Creates empty slots.
     *
     * @param fetch starts to fetch an adapter's weights
     */
    AdapterSlots(int limit, Function<String, CompletableFuture<Void>> fetch) {
        this.limit = limit;
        this.fetch = fetch;
    }

    /** Loads an adapter unless it is held or on its way; false when the load failed, or no slot was free. */
    synchronized CompletableFuture<Boolean> load(String model) {
        CompletableFuture<Boolean> existing = held.get(model);
        if (existing != null) {
            return existing;
        }
        if (held.size() >= limit) {
            return CompletableFuture.completedFuture(false);
        }
        CompletableFuture<Boolean> loaded = new CompletableFuture<>();
        held.put(model, loaded);
        fetch.apply(model).whenComplete((ignored, failure) -> finish(model, loaded, failure == null));
        return loaded;
    }

    /** Frees an adapter's slot. */
    synchronized void unload(String model) {
        held.remove(model);
        ready.remove(model);
    }

    synchronized void clear() {
        held.clear();
        ready.clear();
    }

    synchronized boolean isLoaded(String model) {
        return ready.contains(model);
    }

    synchronized Set<String> loaded() {
        return Set.copyOf(ready);
    }

    private void finish(String model, CompletableFuture<Boolean> load, boolean success) {
        boolean kept;
        synchronized (this) {
            kept = success && held.get(model) == load;
            if (kept) {
                ready.add(model);
            } else {
                held.remove(model, load);
            }
        }
        load.complete(kept);
    }
}
