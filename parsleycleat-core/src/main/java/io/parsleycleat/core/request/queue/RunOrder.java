package io.parsleycleat.core.request.queue;

import java.util.Optional;

/** Decides which of the waiting runs is next. Guarded by the queue's lock. */
interface RunOrder {
    /** Takes a run in. */
    void add(QueuedRun run);

    /** Removes a run; returns whether it was there. */
    boolean remove(QueuedRun run);

    /** Removes and returns the run whose turn it is, if any may start. */
    Optional<QueuedRun> next(boolean suspectAllowed);

    /** Gives back what a run was charged too much; below zero when it took more. */
    void settle(String accountId, int unusedTokens);

    /** Returns how many runs wait. */
    int size();

    /** Returns after how many starts a run of the account that is added now would start, counted from 1. */
    double startsUntil(String accountId, int weight);
}
