package io.parsleycleat.core.request.execute;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.request.queue.QueuedRun;
import io.parsleycleat.core.request.queue.RunQueue;
import java.util.Optional;

/** Gives a run its turn when it is cancelled, just before it is withdrawn. */
final class TurnAtCancel implements RunQueue {
    private final RunQueue queue;
    private QueuedRun last;

    TurnAtCancel(RunQueue queue) {
        this.queue = queue;
    }

    @Override
    public Optional<Refusal> offer(QueuedRun run) {
        last = run;
        return queue.offer(run);
    }

    @Override
    public boolean cancel(String runId) {
        last.start().run();
        return queue.cancel(runId);
    }

    @Override
    public void finished(String runId, int usedTokens) {
        queue.finished(runId, usedTokens);
    }

    @Override
    public long expectedWaitMillis(boolean freeTier) {
        return queue.expectedWaitMillis(freeTier);
    }

    @Override
    public int waiting() {
        return queue.waiting();
    }

    @Override
    public int running() {
        return queue.running();
    }
}
