package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.gateway.version.routes.AdapterId;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Tracks which adapters are resident on an engine, which are being loaded, and which are in use.
 *
 * <p>The engine may still carry out an unanswered order until it has accepted another one, so the adapter of that order
 * occupies a slot until then.
 *
 * <p>Reports do not list an adapter as loading while a new version replaces a resident one. An accepted load therefore
 * counts as in progress until its version is resident or it has timed out.
 *
 * <p>Created by {@link EngineGate}, which guards it with its lock.
 */
final class AdapterTable {
    /** Time after which an accepted load that has not completed is considered lost. */
    private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(4);

    /** Time for which an adapter is not unloaded after the engine has refused to unload it. */
    private static final Duration UNLOAD_RETRY_INTERVAL = Duration.ofMillis(700);

    private final Map<AdapterId, Long> residentVersions = new HashMap<>();
    private final Map<AdapterId, Long> loadingVersions = new HashMap<>();
    private final Map<AdapterId, AcceptedLoad> acceptedLoads = new HashMap<>();
    private final Map<AdapterId, Long> unloadRefusedNanos = new HashMap<>();
    private final Map<AdapterId, Integer> useCounts = new HashMap<>();
    private final Map<AdapterId, Long> lastUsedNanos = new HashMap<>();
    private final Set<AdapterId> previouslyResident = new HashSet<>();
    private final LoadConcurrencyLimit loadLimit = new LoadConcurrencyLimit();
    private @Nullable ModelOrder unansweredOrder;

    /** A load order that the engine accepted, and when. */
    private record AcceptedLoad(long version, long acceptedNanos) {}

    /** Replaces the engine's state by a new report. */
    void onReport(EngineReport report, long nowNanos) {
        residentVersions.clear();
        residentVersions.putAll(report.residentAdapters());
        loadingVersions.clear();
        loadingVersions.putAll(report.loadingAdapters());
        acceptedLoads.forEach((adapter, load) -> recordLoadTime(adapter, load, nowNanos));
        previouslyResident.addAll(residentVersions.keySet());
        acceptedLoads
                .entrySet()
                .removeIf(e -> isResident(e.getKey(), e.getValue().version())
                        || nowNanos - e.getValue().acceptedNanos() > LOAD_TIMEOUT.toNanos());
        acceptedLoads.forEach((adapter, load) -> loadingVersions.putIfAbsent(adapter, load.version()));
        ModelOrder order = unansweredOrder;
        if (order != null && report.acceptedOrders() > order.expectedAcceptedOrders()) {
            unansweredOrder = null;
        }
    }

    /**
     * Records the duration of a completed load from the weight store. An adapter that was resident before is loaded
     * from the engine's own disk, so its load time does not measure the store and is ignored.
     */
    private void recordLoadTime(AdapterId adapter, AcceptedLoad load, long nowNanos) {
        if (isResident(adapter, load.version()) && !previouslyResident.contains(adapter)) {
            loadLimit.onLoadCompleted(load.acceptedNanos(), nowNanos);
        }
    }

    private boolean isResident(AdapterId adapter, long version) {
        Long held = residentVersions.get(adapter);
        return held != null && held >= version;
    }

    /** Applies the outcome of an order until the next report replaces the state. */
    void onOrderOutcome(ModelOrder order, ModelOrder.Outcome outcome, long nowNanos) {
        if (outcome == ModelOrder.Outcome.UNKNOWN) {
            unansweredOrder = order;
            return;
        }
        boolean load = order.operation() == ModelOrder.Operation.LOAD;
        if (outcome == ModelOrder.Outcome.CONFLICT && !load) {
            unloadRefusedNanos.put(order.target(), nowNanos);
        }
        if (outcome == ModelOrder.Outcome.STARTED && load) {
            loadingVersions.put(order.target(), order.version());
            acceptedLoads.put(order.target(), new AcceptedLoad(order.version(), nowNanos));
        } else if (outcome == ModelOrder.Outcome.DONE && !load) {
            residentVersions.remove(order.target());
        }
        if (outcome == ModelOrder.Outcome.STARTED || outcome == ModelOrder.Outcome.DONE) {
            unansweredOrder = null;
        }
    }

    /** Discards the engine's state after a restart; use counts and measured load times remain. */
    void clear() {
        residentVersions.clear();
        loadingVersions.clear();
        acceptedLoads.clear();
        unloadRefusedNanos.clear();
        previouslyResident.clear();
        unansweredOrder = null;
    }

    /** Returns the limit of concurrent loads, which also estimates load times. */
    LoadConcurrencyLimit loadLimit() {
        return loadLimit;
    }

    void acquire(AdapterId adapter, long nowNanos) {
        useCounts.merge(adapter, 1, Integer::sum);
        lastUsedNanos.put(adapter, nowNanos);
    }

    /** Ends one use of the adapter and returns whether it is now unused. */
    boolean release(AdapterId adapter) {
        useCounts.computeIfPresent(adapter, (a, n) -> n > 1 ? n - 1 : null);
        return !useCounts.containsKey(adapter);
    }

    boolean isInUse(AdapterId adapter) {
        return useCounts.containsKey(adapter);
    }

    Optional<Long> residentVersion(AdapterId adapter) {
        return Optional.ofNullable(residentVersions.get(adapter));
    }

    boolean isLoading(AdapterId adapter) {
        return loadingVersions.containsKey(adapter);
    }

    int loadingCount() {
        return loadingVersions.size();
    }

    boolean hasUnansweredOrder() {
        return unansweredOrder != null;
    }

    /** Returns the number of occupied adapter slots, including that of an unanswered load order. */
    int occupiedSlots() {
        ModelOrder order = unansweredOrder;
        boolean additionalSlot = order != null
                && order.operation() == ModelOrder.Operation.LOAD
                && !residentVersions.containsKey(order.target())
                && !loadingVersions.containsKey(order.target());
        long replacing = loadingVersions.keySet().stream()
                .filter(residentVersions::containsKey)
                .count();
        return (int) (residentVersions.size() + loadingVersions.size() - replacing) + (additionalSlot ? 1 : 0);
    }

    /** Returns the number of resident adapters that can be unloaded to make room for others. */
    int replaceableCount(Predicate<AdapterId> isWaitedFor) {
        return (int) residentVersions.keySet().stream()
                .filter(a -> !isInUse(a) && !isLoading(a) && !isWaitedFor.test(a))
                .count();
    }

    /**
     * Returns the least recently used adapter among those that no request uses or waits for. An adapter that the engine
     * refused to unload, because an abandoned run still uses it, is skipped for a while.
     */
    Optional<AdapterId> leastRecentlyUsed(Predicate<AdapterId> isWaitedFor, long nowNanos) {
        unloadRefusedNanos.values().removeIf(nanos -> nowNanos - nanos > UNLOAD_RETRY_INTERVAL.toNanos());
        return residentVersions.keySet().stream()
                .filter(a -> !unloadRefusedNanos.containsKey(a))
                .filter(a -> !isInUse(a) && !isLoading(a) && !isWaitedFor.test(a))
                .min(Comparator.comparingLong(a -> lastUsedNanos.getOrDefault(a, Long.MIN_VALUE)));
    }

    Set<AdapterId> residentAdapters() {
        return Set.copyOf(residentVersions.keySet());
    }

    Set<AdapterId> loadingAdapters() {
        return Set.copyOf(loadingVersions.keySet());
    }
}
