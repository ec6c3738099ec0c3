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
 * Which adapters an engine holds, which are on their way, and which are in use.
 *
 * <p>An order without an answer may still be carried out until the engine has accepted another one, so its adapter
 * takes a place until then.
 *
 * <p>Reports do not list an adapter whose version is being replaced as on its way, so an accepted load counts as such
 * until its version is there, or its time is over.
 *
 * <p>Created by {@link EngineGate} under whose lock it is used.
 */
final class AdapterTable {
    /** Time after which a load that was accepted and is not there is not expected any more. */
    private static final Duration LOAD_LIMIT = Duration.ofSeconds(4);

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

    /** A load that the engine accepted. */
    private record Accepted(long version, long nanos) {}

    /** Takes what the engine reports. */
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

    /** An engine loads what it held before from its own disk, which tells nothing of the store. */
    private void noteLoaded(AdapterId adapter, Accepted load, long nowNanos) {
        if (isThere(adapter, load.version()) && !heldBefore.contains(adapter)) {
            pace.onLoaded(load.nanos(), nowNanos);
        }
    }

    private boolean isThere(AdapterId adapter, long version) {
        Long held = resident.get(adapter);
        return held != null && held >= version;
    }

    /** Takes an order's outcome, until the next report tells more. */
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

    /** Forgets all that an engine held, since it started anew. */
    void clear() {
        resident.clear();
        coming.clear();
        accepted.clear();
        keptNanos.clear();
        heldBefore.clear();
        uncertain = null;
    }

    /** Returns how fast adapters come from the store. */
    LoadPace pace() {
        return pace;
    }

    void use(AdapterId adapter, long nowNanos) {
        users.merge(adapter, 1, Integer::sum);
        lastUsedNanos.put(adapter, nowNanos);
    }

    /** Returns whether nobody uses the adapter any more. */
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

    /** Returns how many places are taken, counting an order that may still be carried out. */
    int taken() {
        ModelOrder order = uncertain;
        boolean extra = order != null
                && order.operation() == ModelOrder.Operation.LOAD
                && !resident.containsKey(order.target())
                && !coming.containsKey(order.target());
        long replacing = coming.keySet().stream().filter(resident::containsKey).count();
        return (int) (resident.size() + coming.size() - replacing) + (extra ? 1 : 0);
    }

    /** Returns how many adapters could be unloaded for others. */
    int replaceable(Predicate<AdapterId> wanted) {
        return (int) resident.keySet().stream()
                .filter(a -> !isUsed(a) && !isComing(a) && !wanted.test(a))
                .count();
    }

    /**
     * Returns the adapter that was used longest ago among those that nobody uses or wants. One that the engine would
     * not give up, since a run that was left behind still uses it, is passed over for a while.
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
