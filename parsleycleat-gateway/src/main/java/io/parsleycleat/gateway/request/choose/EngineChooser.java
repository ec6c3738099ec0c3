package io.parsleycleat.gateway.request.choose;

import io.parsleycleat.core.request.routing.RendezvousHash;
import io.parsleycleat.gateway.version.routes.AdapterId;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.GateStatus;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Orders the engines of a service by the expected time to the first event of a request.
 *
 * <p>An absent adapter costs a load, which is shorter on an engine that held the adapter before. Engines earlier in the
 * adapter's rendezvous order get a small preference, so that all entries load an adapter on the same engines and it
 * spreads to further engines only as its demand grows.
 *
 * <p>One instance per entry; safe for use by several threads.
 */
public final class EngineChooser {
    /** Cost of loading an absent adapter, including the delay that the load causes to other loads. */
    private static final double LOAD_MILLIS = 600;

    /** Cost of waiting for a load that is in progress. */
    private static final double REMAINING_LOAD_MILLIS = 130;
    /** Cost of loading an adapter that the engine held before. */
    private static final double RELOAD_MILLIS = 90;

    /** Penalty for an engine that has not loaded the base model. */
    private static final double MODEL_NOT_LOADED_MILLIS = 1_500;
    /** Penalty for an engine with a high rate of errors and failures. */
    private static final double HIGH_ERROR_RATE_MILLIS = 1_000;
    /** Penalty for an engine in backoff after failed requests. */
    private static final double BACKOFF_MILLIS = 5_000;
    /** Penalty for an engine that its side cannot reach, and for one whose side does not respond. */
    private static final double UNREACHABLE_MILLIS = 3_000;
    /** Penalty per position in the adapter's rendezvous order, for engines that hold the adapter or held it before. */
    private static final double RANK_MILLIS = 12;
    /** Penalty per position for the other engines; higher, because an engine reloads faster what it held before. */
    private static final double ABSENT_RANK_MILLIS = 80;
    /** Penalty per running request, because a step takes longer with a larger batch. */
    private static final double RUNNING_REQUEST_MILLIS = 3;
    /** Penalty for an engine without free memory; proportionally less while some memory is free. */
    private static final double MEMORY_FULL_MILLIS = 1_500;

    /** Share of free memory below which the memory penalty applies. */
    private static final double LOW_FREE_MEMORY_SHARE = 0.2;
    /** Prompt throughput assumed for an engine that has not reported one. */
    private static final double DEFAULT_TOKENS_PER_MILLISECOND = 15;

    private final EngineView view;
    private final UpstreamLoads loads;
    private final UpstreamLimits limits;

    /**
     * Creates a chooser that uses the statuses sent by sides, the loads observed in responses, and the limits named.
     */
    public EngineChooser(EngineView view, UpstreamLoads loads, UpstreamLimits limits) {
        this.view = view;
        this.loads = loads;
        this.limits = limits;
    }

    /**
     * An engine with its expected time to the first event and the state of the adapter on it.
     *
     * @param limitWaitMillis the part of the expected time that is a wait for the engine's request limit
     */
    public record Choice(
            Upstream engine, double expectedMillis, double limitWaitMillis, EngineView.AdapterState adapterState) {}

    /**
     * Returns the engines that are not excluded, the lowest expected time first.
     *
     * @param priority the priority of the request; 0 is the most urgent
     */
    public List<Choice> orderByExpectedTime(
            List<Upstream> engines, AdapterId adapter, int priority, Set<String> excluded) {
        List<Upstream> ranked = RendezvousHash.order(
                adapter.toString(), engines, u -> u.address().toString());
        Map<String, Integer> ranks = new HashMap<>();
        ranked.forEach(u -> ranks.put(u.id(), ranks.size()));
        return ranked.stream()
                .filter(u -> !excluded.contains(u.id()))
                .map(u -> estimate(u, adapter, priority, ranks.getOrDefault(u.id(), 0)))
                .sorted(Comparator.comparingDouble(Choice::expectedMillis))
                .toList();
    }

    private Choice estimate(Upstream engine, AdapterId adapter, int priority, int rank) {
        EngineView.AdapterState state = view.adapterState(engine, adapter);
        Optional<GateStatus> status = view.status(engine);
        double limitWaitMillis = limits.closedFor(engine, priority).toMillis();
        double expectedMillis =
                rank * rankMillis(state) + adapterMillis(state) + healthMillis(engine) + limitWaitMillis;
        if (status.isPresent()) {
            GateStatus s = status.get();
            expectedMillis += view.backlogTokens(engine) / tokensPerMillisecond(s);
            expectedMillis += s.getRunning() * RUNNING_REQUEST_MILLIS;
            expectedMillis += memoryMillis(s);
            expectedMillis += s.getModelResident() ? 0 : MODEL_NOT_LOADED_MILLIS;
            expectedMillis += s.getOut() ? UNREACHABLE_MILLIS : 0;
            expectedMillis += needsLoad(state) ? s.getPlaceWaitMillis() : 0;
        }
        return new Choice(engine, expectedMillis, limitWaitMillis, state);
    }

    private double healthMillis(Upstream engine) {
        UpstreamLoad load = loads.of(engine);
        double unresponsiveMillis = view.isSideUnresponsive(engine) ? UNREACHABLE_MILLIS : 0;
        return unresponsiveMillis
                + (load.isInBackoff() ? BACKOFF_MILLIS : 0)
                + (load.hasHighErrorRate() ? HIGH_ERROR_RATE_MILLIS : 0);
    }

    private static double rankMillis(EngineView.AdapterState state) {
        return state == EngineView.AdapterState.ABSENT ? ABSENT_RANK_MILLIS : RANK_MILLIS;
    }

    private static double adapterMillis(EngineView.AdapterState state) {
        return switch (state) {
            case RESIDENT -> 0;
            case LOADING -> REMAINING_LOAD_MILLIS;
            case PREVIOUSLY_RESIDENT -> RELOAD_MILLIS;
            case ABSENT -> LOAD_MILLIS;
        };
    }

    private static boolean needsLoad(EngineView.AdapterState state) {
        return state == EngineView.AdapterState.ABSENT || state == EngineView.AdapterState.PREVIOUSLY_RESIDENT;
    }

    private static double memoryMillis(GateStatus status) {
        if (status.getTotalTokens() == 0) {
            return 0;
        }
        double freeShare = 1.0 - (double) status.getReservedTokens() / status.getTotalTokens();
        return freeShare >= LOW_FREE_MEMORY_SHARE
                ? 0
                : MEMORY_FULL_MILLIS * (LOW_FREE_MEMORY_SHARE - freeShare) / LOW_FREE_MEMORY_SHARE;
    }

    private static double tokensPerMillisecond(GateStatus status) {
        return status.getTokensPerSecond() == 0
                ? DEFAULT_TOKENS_PER_MILLISECOND
                : status.getTokensPerSecond() / 1_000.0;
    }
}
