package io.parsleycleat.core.request.queue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Deficit round robin in tokens between accounts.
 *
 * <p>Created by the {@link FairRunQueue}, one for paying and one for free accounts, and guarded by its lock.
 */
final class FairOrder implements RunOrder {
    private final int quantumTokens;
    private final Map<String, Flow> flows = new HashMap<>();
    private final Deque<Flow> round = new ArrayDeque<>();
    private int size;

    FairOrder(int quantumTokens) {
        this.quantumTokens = quantumTokens;
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public double startsUntil(String accountId, int weight) {
        Flow flow = flows.get(accountId);
        int own = flow == null ? 0 : flow.runs.size();
        int others = round.stream()
                .filter(f -> !f.accountId.equals(accountId))
                .mapToInt(Flow::weight)
                .sum();
        return Math.min(size + 1.0, (own + 1.0) * (others + weight) / weight);
    }

    @Override
    public void add(QueuedRun run) {
        Flow flow = flows.computeIfAbsent(run.accountId(), Flow::new);
        if (flow.runs.isEmpty()) {
            round.addLast(flow);
        }
        flow.runs.addLast(run);
        size++;
    }

    @Override
    public boolean remove(QueuedRun run) {
        Flow flow = flows.get(run.accountId());
        if (flow == null || !flow.remove(run)) {
            return false;
        }
        size--;
        removeIfEmpty(flow);
        return true;
    }

    @Override
    public Optional<QueuedRun> next(boolean suspectAllowed) {
        boolean startable = round.stream().anyMatch(f -> f.first(suspectAllowed) != null);
        while (startable) {
            Flow flow = round.peekFirst();
            QueuedRun run = flow == null ? null : flow.first(suspectAllowed);
            if (flow != null && run != null && run.tokens() <= flow.deficit) {
                flow.deficit -= run.tokens();
                remove(run);
                return Optional.of(run);
            }
            passTurn(run);
        }
        return Optional.empty();
    }

    @Override
    public void settle(String accountId, int unusedTokens) {
        Flow flow = flows.get(accountId);
        if (flow != null) {
            flow.deficit += unusedTokens;
        }
    }

    private void passTurn(@Nullable QueuedRun blocked) {
        Flow flow = round.pollFirst();
        if (flow != null) {
            flow.deficit += blocked == null ? 0 : (long) quantumTokens * flow.weight();
            round.addLast(flow);
        }
    }

    private void removeIfEmpty(Flow flow) {
        if (flow.runs.isEmpty()) {
            round.remove(flow);
            flows.remove(flow.accountId);
        }
    }
}
