package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.gateway.version.routes.AdapterId;
import io.parsleycleat.wire.gate.StartGrant;
import io.parsleycleat.wire.gate.StartRequest;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * A request that waits for its start, and the order among those that do.
 *
 * <p>Created by {@link EngineGate} for each request; immutable.
 *
 * @param nanos when it was asked for
 * @param reply takes the one answer
 */
record WaitingStart(
        EngineGate.TicketKey key, AdapterId adapter, StartRequest request, long nanos, Consumer<StartGrant> reply) {
    /** Part of its objective after which a request's adapter is loaded before those that more requests wait for. */
    private static final double PATIENT_PART = 0.5;

    /** Those that can still be in time go before those that cannot, then the most urgent, then the first. */
    static Comparator<WaitingStart> order(long nowNanos) {
        return Comparator.comparing((WaitingStart w) -> !w.isOnTime(nowNanos))
                .thenComparingInt(w -> w.request().getPriority())
                .thenComparingLong(WaitingStart::nanos);
    }

    /**
     * Returns the adapter that the most requests wait for which can still be in time, unless the first request has
     * waited for long.
     *
     * @param absent the requests whose adapters are absent
     */
    static Optional<AdapterId> nextLoad(List<WaitingStart> absent, long nowNanos) {
        List<WaitingStart> ordered = absent.stream().sorted(order(nowNanos)).toList();
        Map<AdapterId, Long> demand = ordered.stream()
                .filter(w -> w.isOnTime(nowNanos))
                .collect(Collectors.groupingBy(WaitingStart::adapter, Collectors.counting()));
        if (demand.isEmpty() || ordered.get(0).isImpatient(nowNanos)) {
            return ordered.stream().map(WaitingStart::adapter).findFirst();
        }
        long most = Collections.max(demand.values());
        return ordered.stream()
                .map(WaitingStart::adapter)
                .filter(a -> demand.getOrDefault(a, 0L) == most)
                .findFirst();
    }

    boolean isOnTime(long nowNanos) {
        return nowNanos - nanos < objectiveNanos();
    }

    boolean isOver(long nowNanos) {
        return nowNanos - nanos > TimeUnit.MILLISECONDS.toNanos(request.getWaitMillis());
    }

    long tokens() {
        return (long) request.getPromptTokens() + request.getOutputTokens();
    }

    private boolean isImpatient(long nowNanos) {
        return nowNanos - nanos > PATIENT_PART * objectiveNanos();
    }

    private long objectiveNanos() {
        return TimeUnit.MILLISECONDS.toNanos(request.getObjectiveMillis());
    }
}
