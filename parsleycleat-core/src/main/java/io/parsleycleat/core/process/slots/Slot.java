package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import java.util.ArrayList;
import java.util.List;

/**
 * One slot that is not empty.
 *
 * <p>Created by the {@link SlotLedger} and guarded by the table's lock.
 */
final class Slot {
    enum State {
        LOADING,
        LOADED,
        EVICTING
    }

    final AdapterVersion adapter;
    final long generation;
    final long createdNanos;
    final List<Waiter> waiters = new ArrayList<>();
    State state = State.LOADING;
    int pins;
    int freePins;
    long lastUseNanos;
    /** How long the load took, and would take again. */
    long loadNanos;

    Slot(AdapterVersion adapter, long generation, long nowNanos) {
        this.adapter = adapter;
        this.generation = generation;
        this.createdNanos = nowNanos;
        this.lastUseNanos = nowNanos;
    }

    boolean isEvictable() {
        return state == State.LOADED && pins == 0;
    }

    /** Returns whether only runs of the free tier keep the slot, or wait for it. */
    boolean isHeldByFreeTier() {
        if (state == State.LOADING) {
            return !waiters.isEmpty() && waiters.stream().allMatch(Waiter::isFree);
        }
        return pins > 0 && pins == freePins;
    }

    void addPin(LoadPriority priority) {
        pins++;
        freePins += priority == LoadPriority.FREE ? 1 : 0;
    }

    void removePin(LoadPriority priority, long nowNanos) {
        pins--;
        freePins -= priority == LoadPriority.FREE ? 1 : 0;
        lastUseNanos = nowNanos;
    }
}
