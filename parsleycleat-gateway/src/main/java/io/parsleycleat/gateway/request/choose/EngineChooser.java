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
 * Orders the engines of a service for a request by the expected time to its first event.
 *
 * <p>An adapter that is absent costs a load, a short one at an engine that held it before. Engines earlier in the
 * adapter's rendezvous order are preferred a little,
 * so that all entries load it in the same places and an adapter spreads over more engines only as its demand grows.
 *
 * <p>One an entry; safe to share between threads.
 */
public final class EngineChooser {
    /** Time that a load takes, in milliseconds, with what it takes away from other loads. */
    private static final double LOAD_MILLIS = 600;

    private static final double COMING_MILLIS = 130;
    /** Time that it takes an engine to load what it held before. */
    private static final double RELOAD_MILLIS = 90;

    private static final double MODEL_ABSENT_MILLIS = 1_500;
    private static final double ERRING_MILLIS = 1_000;
    private static final double PAUSED_MILLIS = 5_000;
    private static final double OUT_MILLIS = 3_000;
    /** What one place further down the adapter's order costs on an engine that holds it. */
    private static final double RANK_MILLIS = 12;
    /** The same on one that does not hold it, since an engine loads faster what it held before. */
    private static final double ABSENT_RANK_MILLIS = 80;
    /** What a request that runs already adds, since steps grow with the batch. */
    private static final double RUNNING_MILLIS = 3;
    /** What memory that is nearly used up adds. */
    private static final double MEMORY_MILLIS = 1_500;

    private static final double MEMORY_FREE_SHARE = 0.2;
    private static final double DEFAULT_TOKENS_PER_MILLI = 15;

    private final EngineView view;
    private final UpstreamLoads loads;

    /** Creates a chooser over what the sides told and what answers showed. */
    public EngineChooser(EngineView view, UpstreamLoads loads) {
        this.view = view;
        this.loads = loads;
    }

    /** An engine with its expected time to the first event. */
    public record Choice(Upstream engine, double expectedMillis, EngineView.AdapterState adapterState) {}

    /** Returns the engines that are not excluded, the best first. */
    public List<Choice> orderByExpectedTime(List<Upstream> engines, AdapterId adapter, Set<String> excluded) {
        List<Upstream> ranked = RendezvousHash.order(
                adapter.toString(), engines, u -> u.address().toString());
        Map<String, Integer> ranks = new HashMap<>();
        ranked.forEach(u -> ranks.put(u.id(), ranks.size()));
        return ranked.stream()
                .filter(u -> !excluded.contains(u.id()))
                .map(u -> choice(u, adapter, ranks.getOrDefault(u.id(), 0)))
                .sorted(Comparator.comparingDouble(Choice::expectedMillis))
                .toList();
    }

    private Choice choice(Upstream engine, AdapterId adapter, int rank) {
        EngineView.AdapterState place = view.adapterState(engine, adapter);
        Optional<GateStatus> status = view.status(engine);
        double expected = rank * rankMillis(place) + placeMillis(place) + healthMillis(engine);
        if (status.isPresent()) {
            GateStatus s = status.get();
            expected += view.backlogTokens(engine) / tokensPerMilli(s);
            expected += s.getRunning() * RUNNING_MILLIS;
            expected += memoryMillis(s);
            expected += s.getModelResident() ? 0 : MODEL_ABSENT_MILLIS;
            expected += s.getOut() ? OUT_MILLIS : 0;
            expected += needsPlace(place) ? s.getPlaceWaitMillis() : 0;
        }
        return new Choice(engine, expected, place);
    }

    private double healthMillis(Upstream engine) {
        UpstreamLoad load = loads.of(engine);
        double silent = view.isSideUnresponsive(engine) ? OUT_MILLIS : 0;
        return silent + (load.isPaused() ? PAUSED_MILLIS : 0) + (load.hasHighErrorRate() ? ERRING_MILLIS : 0);
    }

    private static double rankMillis(EngineView.AdapterState place) {
        return place == EngineView.AdapterState.ABSENT ? ABSENT_RANK_MILLIS : RANK_MILLIS;
    }

    private static double placeMillis(EngineView.AdapterState place) {
        return switch (place) {
            case RESIDENT -> 0;
            case LOADING -> COMING_MILLIS;
            case PREVIOUSLY_RESIDENT -> RELOAD_MILLIS;
            case ABSENT -> LOAD_MILLIS;
        };
    }

    private static boolean needsPlace(EngineView.AdapterState place) {
        return place == EngineView.AdapterState.ABSENT || place == EngineView.AdapterState.PREVIOUSLY_RESIDENT;
    }

    private static double memoryMillis(GateStatus status) {
        if (status.getTotalTokens() == 0) {
            return 0;
        }
        double free = 1.0 - (double) status.getReservedTokens() / status.getTotalTokens();
        return free >= MEMORY_FREE_SHARE ? 0 : MEMORY_MILLIS * (MEMORY_FREE_SHARE - free) / MEMORY_FREE_SHARE;
    }

    private static double tokensPerMilli(GateStatus status) {
        return status.getTokensPerSecond() == 0 ? DEFAULT_TOKENS_PER_MILLI : status.getTokensPerSecond() / 1_000.0;
    }
}
