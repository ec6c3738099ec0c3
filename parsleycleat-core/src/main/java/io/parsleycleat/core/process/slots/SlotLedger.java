package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The slots of one engine and the adapters that are wanted, with the choice of what is loaded and evicted next.
 *
 * <p>Created by the {@link EngineSlotTable} and guarded by its lock; sends no order itself. An evicted slot and the
 * slot that is loaded in its place count as one.
 */
final class SlotLedger {
    private final SlotTableSettings settings;
    private final Predicate<AdapterVersion> retired;
    private final AdapterPopularity popularity;
    private final LoadShares shares = new LoadShares();
    private final Map<AdapterVersion, Slot> slots = new LinkedHashMap<>();
    private final Map<AdapterVersion, Wanted> wanted = new LinkedHashMap<>();
    /** What the engine is said to hold beyond the slots; it takes room, but no run uses it before a load order. */
    private final Set<AdapterVersion> strays = new HashSet<>();

    private int capacity;
    private long generations;
    private long sequences;

    SlotLedger(SlotTableSettings settings, Predicate<AdapterVersion> retired) {
        this.settings = settings;
        this.retired = retired;
        this.popularity = new AdapterPopularity(settings.popularityHalfLife());
    }

    // State

    void setCapacity(int newCapacity) {
        capacity = newCapacity;
    }

    int capacity() {
        return capacity;
    }

    @Nullable
    Slot slot(AdapterVersion adapter) {
        return slots.get(adapter);
    }

    boolean isHeld(Slot slot) {
        return slots.get(slot.adapter) == slot && slot.state == Slot.State.LOADED;
    }

    boolean isLoading(Slot slot) {
        return slots.get(slot.adapter) == slot && slot.state == Slot.State.LOADING;
    }

    int free() {
        long used = slots.values().stream()
                .filter(s -> s.state != Slot.State.EVICTING)
                .count();
        return Math.max(0, capacity - strays.size() - (int) used);
    }

    int evictable() {
        return strays.size()
                + (int) slots.values().stream().filter(Slot::isEvictable).count();
    }

    int loading() {
        return (int) slots.values().stream()
                .filter(s -> s.state == Slot.State.LOADING)
                .count();
    }

    int pinned() {
        return (int) slots.values().stream().filter(s -> s.pins > 0).count();
    }

    int waiting() {
        return wanted.values().stream().mapToInt(w -> w.waiters.size()).sum()
                + slots.values().stream().mapToInt(s -> s.waiters.size()).sum();
    }

    /** Returns how many adapters of a priority could be loaded now if there is room. */
    int loadable(LoadPriority priority) {
        return (int) wanted.values().stream()
                .filter(w -> w.priority() == priority && !slots.containsKey(w.adapter))
                .count();
    }

    boolean isWanted(AdapterVersion adapter) {
        return wanted.containsKey(adapter);
    }

    /**
     * Returns after how many loads a further adapter of the account would be loaded, counted from 1: after the
     * account's own, and as many of each other account of the class. The free tier comes after all paying accounts.
     */
    int loadsUntil(LoadPriority priority, String accountId) {
        List<String> claimants = claimants(p -> p == priority);
        long own = claimants.stream().filter(accountId::equals).count();
        long others =
                claimants.stream().filter(a -> !a.equals(accountId)).distinct().count();
        int before = claimants(p -> p.compareTo(priority) < 0).size();
        return before + (int) Math.min(claimants.size() + 1, (own + 1) * (others + 1));
    }

    private List<String> claimants(Predicate<LoadPriority> condition) {
        return wanted.values().stream()
                .filter(w -> condition.test(w.priority()))
                .map(w -> w.claimant(shares).accountId())
                .toList();
    }

    /** Returns whether runs of the free tier keep as many slots as they may. */
    boolean isFreeShareUsed() {
        long held = slots.values().stream().filter(Slot::isHeldByFreeTier).count();
        return held >= Math.max(1, (long) (capacity * settings.freeSlotShare()));
    }

    // Pins

    /** Returns the slot that the waiter can pin at once; otherwise keeps the waiter. */
    Optional<Slot> admit(Waiter waiter, long nowNanos) {
        AdapterVersion adapter = waiter.request().adapter();
        popularity.count(adapter, nowNanos);
        Slot slot = slots.get(adapter);
        if (slot != null && slot.state == Slot.State.LOADED) {
            return Optional.of(slot);
        }
        if (slot != null && slot.state == Slot.State.LOADING) {
            slot.waiters.add(waiter);
        } else {
            want(waiter);
        }
        return Optional.empty();
    }

    /** Removes and returns the waiters that match. */
    List<Waiter> removeWaiters(Predicate<Waiter> condition) {
        List<Waiter> removed = new ArrayList<>();
        wanted.values().forEach(w -> extract(w.waiters, condition, removed));
        slots.values().forEach(s -> extract(s.waiters, condition, removed));
        wanted.values().removeIf(w -> w.waiters.isEmpty());
        return removed;
    }

    // Loads

    /** Chooses the next load for a permit of the priority, with the adapter that makes room for it. */
    Optional<LoadOrder> beginLoad(LoadPriority priority, long nowNanos) {
        Optional<Wanted> next = wanted.values().stream()
                .filter(w -> w.priority().compareTo(priority) <= 0)
                .filter(w -> w.priority() != LoadPriority.FREE || !isFreeShareUsed())
                .filter(w -> !slots.containsKey(w.adapter))
                .min(Comparator.comparing(Wanted::priority)
                        .thenComparingDouble(w -> shares.used(w.claimant(shares).accountId()))
                        .thenComparingLong(w -> w.sequence));
        if (next.isEmpty()) {
            return Optional.empty();
        }
        AdapterVersion adapter = next.get().adapter;
        AdapterVersion evicted = null;
        if (!strays.remove(adapter) && free() == 0) {
            evicted = evict(nowNanos);
            if (evicted == null) {
                return Optional.empty();
            }
        }
        wanted.remove(adapter);
        PinRequest claimant = next.get().claimant(shares);
        shares.charge(claimant.accountId(), claimant.weight());
        Slot slot = new Slot(adapter, ++generations, nowNanos);
        slot.waiters.addAll(next.get().waiters);
        slots.put(adapter, slot);
        return Optional.of(new LoadOrder(slot, evicted));
    }

    /** Ends an eviction. */
    void evicted(AdapterVersion adapter) {
        Slot slot = slots.get(adapter);
        if (slot != null && slot.state == Slot.State.EVICTING) {
            slots.remove(adapter);
        }
    }

    /** Gives up a load whose slot could not be emptied; its waiters want the adapter as before. */
    void undoLoad(LoadOrder order) {
        slots.remove(order.slot().adapter);
        order.slot().waiters.forEach(this::want);
        if (order.evicted() != null) {
            evicted(order.evicted());
            strays.add(order.evicted());
        }
    }

    /** Removes a slot whose load failed and returns who waited for it. */
    List<Waiter> removeFailed(Slot slot, boolean mayBeHeld) {
        slots.remove(slot.adapter);
        if (mayBeHeld) {
            strays.add(slot.adapter);
        }
        return List.copyOf(slot.waiters);
    }

    /** Forgets all slots. Whoever waited for a load still wants the adapter. */
    void empty(Collection<AdapterVersion> nowHeld) {
        List<Slot> old = List.copyOf(slots.values());
        slots.clear();
        strays.clear();
        strays.addAll(nowHeld);
        old.forEach(s -> s.waiters.forEach(this::want));
    }

    // Internals

    private void want(Waiter waiter) {
        wanted.computeIfAbsent(waiter.request().adapter(), a -> new Wanted(a, ++sequences))
                .waiters
                .add(waiter);
    }

    private @Nullable AdapterVersion evict(long nowNanos) {
        Optional<AdapterVersion> stray =
                strays.stream().filter(a -> !wanted.containsKey(a)).findFirst();
        if (stray.isPresent()) {
            strays.remove(stray.get());
            return stray.get();
        }
        Optional<Slot> victim = slots.values().stream()
                .filter(Slot::isEvictable)
                .min(Comparator.<Slot>comparingInt(s -> retired.test(s.adapter) ? 0 : 1)
                        .thenComparingDouble(s -> popularity.of(s.adapter, nowNanos) * s.loadNanos)
                        .thenComparingLong(s -> s.lastUseNanos));
        victim.ifPresent(s -> s.state = Slot.State.EVICTING);
        return victim.map(s -> s.adapter).orElse(null);
    }

    private static void extract(List<Waiter> waiters, Predicate<Waiter> condition, List<Waiter> into) {
        waiters.stream().filter(condition).forEach(into::add);
        waiters.removeIf(condition);
    }
}
