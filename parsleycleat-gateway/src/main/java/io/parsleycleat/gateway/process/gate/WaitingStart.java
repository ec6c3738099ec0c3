package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.gateway.version.routes.AdapterId;
import io.parsleycleat.wire.gate.StartGrant;
import io.parsleycleat.wire.gate.StartRequest;
import java.time.Duration;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
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
        return order(w -> w.isOnTime(nowNanos));
    }

    private static Comparator<WaitingStart> order(Predicate<WaitingStart> inTime) {
        return Comparator.comparing((WaitingStart w) -> !inTime.test(w))
                .thenComparingInt(w -> w.request().getPriority())
                .thenComparingLong(WaitingStart::nanos);
    }

    /**
     * Returns the adapter that the most requests wait for which can still be in time once it is loaded, unless the
     * first of them has waited for long. Those that will be late anyway come after them.
     *
     * @param absent the requests whose adapters are absent
     * @param loadTime how long an adapter's load takes
     */
    static Optional<AdapterId> nextLoad(
            List<WaitingStart> absent, long nowNanos, Function<AdapterId, Duration> loadTime) {
        Predicate<WaitingStart> inTime =
                w -> w.isOnTime(nowNanos + loadTime.apply(w.adapter()).toNanos());
        List<WaitingStart> ordered = absent.stream().sorted(order(inTime)).toList();
        Map<AdapterId, Long> demand = ordered.stream()
                .filter(inTime)
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
