package io.parsleycleat.core.request.queue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * The waiting runs of one account, in the order of their arrival.
 *
 * <p>Created by a {@link FairOrder} and guarded by the queue's lock.
 */
final class Flow {
    final String accountId;
    final Deque<QueuedRun> runs = new ArrayDeque<>();
    /** Tokens that the account may still start in this round; below zero when it started more than its part. */
    long deficit;

    Flow(String accountId) {
        this.accountId = accountId;
    }

    int weight() {
        QueuedRun first = runs.peek();
        return first == null ? 1 : Math.max(1, first.weight());
    }

    /** Returns the first run that may start. */
    @Nullable
    QueuedRun first(boolean suspectAllowed) {
        return runs.stream()
                .filter(r -> suspectAllowed || !r.suspect())
                .findFirst()
                .orElse(null);
    }

    /** Removes a run; returns whether it was there. */
    boolean remove(QueuedRun run) {
        return runs.removeIf(r -> r.runId().equals(run.runId()));
    }
}
