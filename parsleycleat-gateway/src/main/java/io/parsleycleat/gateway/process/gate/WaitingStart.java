package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.gateway.version.routes.AdapterId;
import io.parsleycleat.wire.gate.StartGrant;
import io.parsleycleat.wire.gate.StartRequest;
import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * A start request in the gate's queue, with the rules that order the queue.
 *
 * <p>Created by {@link EngineGate} for each request. Immutable.
 *
 * @param arrivalNanos arrival time on the monotonic clock, in nanoseconds
 * @param reply called once with the answer
 */
record WaitingStart(
        EngineGate.TicketKey key,
        AdapterId adapter,
        StartRequest request,
        long arrivalNanos,
        Consumer<StartGrant> reply) {
    /** Share of its objective after which the first request's adapter is loaded before those in higher demand. */
    private static final double DEMAND_ORDER_OBJECTIVE_SHARE = 0.5;

    /** Orders requests within their objective before others, then by priority, then by arrival. */
    static Comparator<WaitingStart> byUrgency(long nowNanos) {
        return Comparator.comparing((WaitingStart w) -> !w.isWithinObjective(nowNanos))
                .thenComparingInt(w -> w.request().getPriority())
                .thenComparingLong(WaitingStart::arrivalNanos);
    }

    /**
     * Returns the adapter to load next: the one that most requests within their objective wait for, or the adapter of
     * the first request once that has waited for a large share of its objective.
     *
     * @param absent the requests whose adapters are neither resident nor being loaded
     */
    static Optional<AdapterId> nextAdapterToLoad(List<WaitingStart> absent, long nowNanos) {
        List<WaitingStart> ordered = absent.stream().sorted(byUrgency(nowNanos)).toList();
        Map<AdapterId, Long> demand = ordered.stream()
                .filter(w -> w.isWithinObjective(nowNanos))
                .collect(Collectors.groupingBy(WaitingStart::adapter, Collectors.counting()));
        if (demand.isEmpty() || ordered.get(0).exceedsDemandOrderLimit(nowNanos)) {
            return ordered.stream().map(WaitingStart::adapter).findFirst();
        }
        long most = Collections.max(demand.values());
        return ordered.stream()
                .map(WaitingStart::adapter)
                .filter(a -> demand.getOrDefault(a, 0L) == most)
                .findFirst();
    }

    boolean isWithinObjective(long nowNanos) {
        return nowNanos - arrivalNanos < objectiveNanos();
    }

    /** Returns the start as it is if its caller comes back at the given time. */
    WaitingStart arrivedAgainAt(long nanos) {
        return new WaitingStart(key, adapter, request, nanos, reply);
    }

    boolean isSame(@Nullable WaitingStart other) {
        return other != null && key.equals(other.key);
    }

    /** Returns when the objective ends. */
    long dueNanos() {
        return arrivalNanos + objectiveNanos();
    }

    long promptTokens() {
        return request.getPromptTokens();
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - arrivalNanos > TimeUnit.MILLISECONDS.toNanos(request.getWaitMillis());
    }

    /** Returns whether no other engine is expected to take the request within its wait. */
    boolean hasNoOtherEngine() {
        return request.getLimitWaitMillis() >= request.getWaitMillis();
    }

    /** Returns how much longer the request can wait for a limited engine; negative when it cannot. */
    Duration limitWaitLeft(long nowNanos) {
        int millis = Math.min(request.getLimitWaitMillis(), request.getWaitMillis());
        return Duration.ofNanos(TimeUnit.MILLISECONDS.toNanos(millis) - (nowNanos - arrivalNanos));
    }

    long requiredTokens() {
        return (long) request.getPromptTokens() + request.getOutputTokens();
    }

    private boolean exceedsDemandOrderLimit(long nowNanos) {
        return nowNanos - arrivalNanos > DEMAND_ORDER_OBJECTIVE_SHARE * objectiveNanos();
    }

    private long objectiveNanos() {
        return TimeUnit.MILLISECONDS.toNanos(request.getObjectiveMillis());
    }

    /** Returns the prompt tokens of several starts together. */
    static long totalPromptTokens(Collection<WaitingStart> starts) {
        return starts.stream().mapToLong(WaitingStart::promptTokens).sum();
    }

    /** Returns the tokens of memory that several starts need together. */
    static long requiredTokens(Collection<WaitingStart> starts) {
        return starts.stream().mapToLong(WaitingStart::requiredTokens).sum();
    }
}
