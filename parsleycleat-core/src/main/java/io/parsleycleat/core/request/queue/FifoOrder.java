package io.parsleycleat.core.request.queue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The order of arrival. Created by the {@link FairRunQueue} and guarded by its lock. */
final class FifoOrder implements RunOrder {
    private final Deque<QueuedRun> runs = new ArrayDeque<>();

    @Override
    public void add(QueuedRun run) {
        runs.addLast(run);
    }

    @Override
    public boolean remove(QueuedRun run) {
        return runs.removeIf(r -> r.runId().equals(run.runId()));
    }

    @Override
    public Optional<QueuedRun> next(boolean suspectAllowed) {
        Optional<QueuedRun> run =
                runs.stream().filter(r -> suspectAllowed || !r.suspect()).findFirst();
        run.ifPresent(this::remove);
        return run;
    }

    @Override
    public void settle(String accountId, int unusedTokens) {
        // The order of arrival does not depend on tokens.
    }

    @Override
    public int size() {
        return runs.size();
    }

    @Override
    public double startsUntil(String accountId, int weight) {
        return runs.size() + 1.0;
    }
}
