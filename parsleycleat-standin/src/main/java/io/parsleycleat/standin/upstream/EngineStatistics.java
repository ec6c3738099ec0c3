package io.parsleycleat.standin.upstream;

import java.util.List;

/**
 * Counts of an engine's work. Immutable; created by {@link BatchScheduler}.
 *
 * @param fillCounts steps by number of runs in the batch
 * @param adapterCounts steps by number of distinct adapters in the batch
 * @param busyNanos time planned for steps
 */
public record EngineStatistics(
        int batchSize,
        int slots,
        List<Long> fillCounts,
        List<Long> adapterCounts,
        long tokens,
        long busyNanos,
        long cachedPromptTokens,
        long promptTokens,
        long crashes) {
    public EngineStatistics {
        fillCounts = List.copyOf(fillCounts);
        adapterCounts = List.copyOf(adapterCounts);
    }

    /** Returns the number of steps. */
    public long steps() {
        return fillCounts.stream().mapToLong(Long::longValue).sum();
    }
}
