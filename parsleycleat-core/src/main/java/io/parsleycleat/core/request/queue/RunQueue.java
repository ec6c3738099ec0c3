package io.parsleycleat.core.request.queue;

import io.parsleycleat.core.process.result.Refusal;
import java.util.Optional;

/**
 * Orders the runs that wait before one upstream and limits how many run at once.
 *
 * <p>One a side; implementations are safe to share between threads.
 */
public interface RunQueue {
    /** Takes a run in, or refuses it at once, in which case neither of its actions is called. */
    Optional<Refusal> offer(QueuedRun run);

    /** Withdraws a run that has not started; returns whether it was still waiting. Its actions are not called. */
    boolean cancel(String runId);

    /** Tells that a started run has ended and how many tokens it took. */
    void finished(String runId, int usedTokens);

    /** Returns how long a run that is offered now would wait. */
    long expectedWaitMillis(boolean freeTier);

    /** Returns how long a run of an account that is offered now would wait. */
    default long expectedWaitMillis(boolean freeTier, String accountId) {
        return expectedWaitMillis(freeTier);
    }

    /** Returns how many runs could start at once. */
    default int freePlaces(boolean freeTier) {
        return 0;
    }

    /** Returns how much longer each run beyond the free places makes the next one wait. */
    default long waitPerRunMillis() {
        return 0;
    }

    /** Returns how many runs wait. */
    int waiting();

    /** Returns how many runs have started and not ended. */
    int running();
}
