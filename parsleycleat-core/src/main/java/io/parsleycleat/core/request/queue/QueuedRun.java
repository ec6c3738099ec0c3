package io.parsleycleat.core.request.queue;

import io.parsleycleat.core.process.result.Refusal;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * A run that waits for its turn. Exactly one of its two actions is called, once.
 *
 * @param tokens upper bound of the tokens that the run takes
 * @param deadlineNanos monotonic time by which the run must start
 * @param start called when it is the run's turn; must not block
 * @param refuse called when the run cannot start in time or is cancelled
 */
public record QueuedRun(
        String runId,
        String accountId,
        int weight,
        boolean freeTier,
        int tokens,
        long deadlineNanos,
        boolean suspect,
        Runnable start,
        Consumer<Refusal> refuse) {
    public QueuedRun {
        Objects.requireNonNull(runId, "runId");
        Objects.requireNonNull(accountId, "accountId");
        Objects.requireNonNull(start, "start");
        Objects.requireNonNull(refuse, "refuse");
    }
}
