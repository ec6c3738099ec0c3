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
    private static final Duration LOAD_LIMIT = Duration.ofSeconds(4);

    /** Time for which an adapter is not unloaded after the engine has refused to unload it. */
    private static final Duration KEPT_PAUSE = Duration.ofMillis(700);

    private final Map<AdapterId, Long> resident = new HashMap<>();
    private final Map<AdapterId, Long> coming = new HashMap<>();
    private final Map<AdapterId, Accepted> accepted = new HashMap<>();
    private final Map<AdapterId, Long> keptNanos = new HashMap<>();
    private final Map<AdapterId, Integer> users = new HashMap<>();
    private final Map<AdapterId, Long> lastUsedNanos = new HashMap<>();
    private final Set<AdapterId> heldBefore = new HashSet<>();
    private final LoadPace pace = new LoadPace();
    private @Nullable ModelOrder uncertain;

    /** A load order that the engine accepted, and when. */
    private record Accepted(long version, long nanos) {}

    /** Replaces the engine's state by a new report. */
    void onReport(EngineReport report, long nowNanos) {
        resident.clear();
        resident.putAll(report.residentAdapters());
        coming.clear();
        coming.putAll(report.loadingAdapters());
        accepted.forEach((adapter, load) -> noteLoaded(adapter, load, nowNanos));
        heldBefore.addAll(resident.keySet());
        accepted.entrySet()
                .removeIf(e -> isThere(e.getKey(), e.getValue().version())
                        || nowNanos - e.getValue().nanos() > LOAD_LIMIT.toNanos());
        accepted.forEach((adapter, load) -> coming.putIfAbsent(adapter, load.version()));
        ModelOrder order = uncertain;
        if (order != null && report.acceptedOrders() > order.expectedAcceptedOrders()) {
            uncertain = null;
        }
    }

    /**
     * Records the duration of a completed load from the weight store. An adapter that was resident before is loaded
     * from the engine's own disk, so its load time does not measure the store and is ignored.
     */
    private void noteLoaded(AdapterId adapter, Accepted load, long nowNanos) {
        if (isThere(adapter, load.version()) && !heldBefore.contains(adapter)) {
            pace.onLoaded(load.nanos(), nowNanos);
        }
    }

    private boolean isThere(AdapterId adapter, long version) {
        Long held = resident.get(adapter);
        return held != null && held >= version;
    }

    /** Applies the outcome of an order until the next report replaces the state. */
    void onOrder(ModelOrder order, ModelOrder.Outcome outcome, long nowNanos) {
        if (outcome == ModelOrder.Outcome.UNKNOWN) {
            uncertain = order;
            return;
        }
        boolean load = order.operation() == ModelOrder.Operation.LOAD;
        if (outcome == ModelOrder.Outcome.CONFLICT && !load) {
            keptNanos.put(order.target(), nowNanos);
        }
        if (outcome == ModelOrder.Outcome.STARTED && load) {
            coming.put(order.target(), order.version());
            accepted.put(order.target(), new Accepted(order.version(), nowNanos));
        } else if (outcome == ModelOrder.Outcome.DONE && !load) {
            resident.remove(order.target());
        }
        if (outcome == ModelOrder.Outcome.STARTED || outcome == ModelOrder.Outcome.DONE) {
            uncertain = null;
        }
    }

    /** Discards the engine's state after a restart; use counts and measured load times remain. */
    void clear() {
        resident.clear();
        coming.clear();
        accepted.clear();
        keptNanos.clear();
        heldBefore.clear();
        uncertain = null;
    }

    /** Returns the limit of concurrent loads, which also estimates load times. */
    LoadPace pace() {
        return pace;
    }

    void use(AdapterId adapter, long nowNanos) {
        users.merge(adapter, 1, Integer::sum);
        lastUsedNanos.put(adapter, nowNanos);
    }

    /** Ends one use of the adapter and returns whether it is now unused. */
    boolean release(AdapterId adapter) {
        users.computeIfPresent(adapter, (a, n) -> n > 1 ? n - 1 : null);
        return !users.containsKey(adapter);
    }

    boolean isUsed(AdapterId adapter) {
        return users.containsKey(adapter);
    }

    Optional<Long> version(AdapterId adapter) {
        return Optional.ofNullable(resident.get(adapter));
    }

    boolean isComing(AdapterId adapter) {
        return coming.containsKey(adapter);
    }

    int comingCount() {
        return coming.size();
    }

    boolean isUncertain() {
        return uncertain != null;
    }

    /** Returns the number of occupied adapter slots, including that of an unanswered load order. */
    int taken() {
        ModelOrder order = uncertain;
        boolean extra = order != null
                && order.operation() == ModelOrder.Operation.LOAD
                && !resident.containsKey(order.target())
                && !coming.containsKey(order.target());
        long replacing = coming.keySet().stream().filter(resident::containsKey).count();
        return (int) (resident.size() + coming.size() - replacing) + (extra ? 1 : 0);
    }

    /** Returns the number of resident adapters that can be unloaded to make room for others. */
    int replaceable(Predicate<AdapterId> wanted) {
        return (int) resident.keySet().stream()
                .filter(a -> !isUsed(a) && !isComing(a) && !wanted.test(a))
                .count();
    }

    /**
     * Returns the least recently used adapter among those that no request uses or waits for. An adapter that the engine
     * refused to unload, because an abandoned run still uses it, is skipped for a while.
     */
    Optional<AdapterId> leastRecentlyUsed(Predicate<AdapterId> wanted, long nowNanos) {
        keptNanos.values().removeIf(nanos -> nowNanos - nanos > KEPT_PAUSE.toNanos());
        return resident.keySet().stream()
                .filter(a -> !keptNanos.containsKey(a))
                .filter(a -> !isUsed(a) && !isComing(a) && !wanted.test(a))
                .min(Comparator.comparingLong(a -> lastUsedNanos.getOrDefault(a, Long.MIN_VALUE)));
    }

    Set<AdapterId> residents() {
        return Set.copyOf(resident.keySet());
    }

    Set<AdapterId> comings() {
        return Set.copyOf(coming.keySet());
    }
}
