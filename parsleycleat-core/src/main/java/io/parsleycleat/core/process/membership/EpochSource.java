package io.parsleycleat.core.process.membership;

/** Tells the newest epoch that a process knows. One a process; implementations are safe to share between threads. */
@FunctionalInterface
public interface EpochSource {
    /** Returns the newest epoch's number, which never goes back; 0 before any is known. */
    long current();

    /** Returns whether a reservation of an epoch was overtaken by a newer one and must not run. */
    default boolean isStale(long epoch) {
        return epoch < current();
    }
}
