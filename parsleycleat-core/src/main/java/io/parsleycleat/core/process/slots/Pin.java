package io.parsleycleat.core.process.slots;

/** Keeps one adapter version from being evicted. Created by a {@link SlotTable}; safe to share between threads. */
public interface Pin {
    /** Returns the generation of the slot, which changes whenever the slot is filled anew. */
    long generation();

    /** Returns whether the slot still holds what was pinned; false after the engine restarted. */
    boolean isCurrent();

    /** Lets the adapter be evicted again. Only the first call has an effect. */
    void release();
}
