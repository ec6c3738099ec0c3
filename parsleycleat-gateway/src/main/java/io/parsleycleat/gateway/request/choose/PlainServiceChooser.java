package io.parsleycleat.gateway.request.choose;

import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Chooses among the upstreams of a plain service, that is, one that is not a model service.
 *
 * <p>Upstreams without a high error rate come first, then those with the shortest expected wait. Among equal ones the
 * entry's own data centre is preferred.
 *
 * <p>One instance per entry; safe for use by several threads.
 */
public final class PlainServiceChooser {
    /** Penalty for an upstream in another data centre, as a share of a slot. */
    private static final double OTHER_DATA_CENTRE_PENALTY = 0.25;
    /** Latency that weighs as much as the use of all slots. */
    private static final double LATENCY_SCALE_MILLIS = 200;

    private final UpstreamLoads loads;
    private final String dataCentre;
    private final DoubleSupplier random;

    /**
     * Creates a chooser.
     *
     * @param dataCentre the data centre of the entry
     * @param random supplies numbers from 0 to 1 that distribute requests over equal upstreams
     */
    public PlainServiceChooser(UpstreamLoads loads, String dataCentre, DoubleSupplier random) {
        this.loads = loads;
        this.dataCentre = dataCentre;
        this.random = random;
    }

    /** Returns the best upstream that is not excluded; one in backoff only when there is no other. */
    public Optional<Upstream> choose(List<Upstream> candidates, Set<String> excluded) {
        record Scored(Upstream upstream, int healthRank, double score) {}
        return candidates.stream()
                .filter(u -> !excluded.contains(u.id()))
                .map(u -> new Scored(u, healthRank(u), score(u)))
                .min(Comparator.comparingInt(Scored::healthRank).thenComparingDouble(Scored::score))
                .map(Scored::upstream);
    }

    private int healthRank(Upstream upstream) {
        UpstreamLoad load = loads.of(upstream);
        if (load.isInBackoff()) {
            return 2;
        }
        return load.hasHighErrorRate() ? 1 : 0;
    }

    private double score(Upstream upstream) {
        UpstreamLoad load = loads.of(upstream);
        double utilisation = (double) load.requestCount() / Math.max(1, upstream.slots());
        double distance = upstream.dataCentre().equals(dataCentre)
                ? 0
                : OTHER_DATA_CENTRE_PENALTY / Math.max(1, upstream.slots());
        double latency = load.latencyMillis() / LATENCY_SCALE_MILLIS;
        double jitter = random.getAsDouble() / Math.max(1, upstream.slots()) / 10;
        return utilisation + distance + latency + jitter;
    }
}
