package io.parsleycleat.core.request.routing;

import java.time.Duration;
import java.util.Objects;

/**
 * How a selector behaves. Immutable and safe to share.
 *
 * @param probes upstreams that are probed at first
 * @param maxProbes upstreams that are probed at most for one request
 * @param probeTimeout time after which an upstream that does not answer is passed over
 * @param loadWeight how much longer than a load a request waits for an upstream that has the adapter already
 * @param spillMillis time until the start above which further candidates are probed
 * @param runningMillis what each run that is running already is expected to delay the request
 * @param prefixMillis what a prompt prefix in the upstream's cache is expected to save
 */
public record RoutingSettings(
        RoutingPolicy policy,
        int probes,
        int maxProbes,
        Duration probeTimeout,
        double loadWeight,
        long spillMillis,
        long runningMillis,
        long prefixMillis) {
    /** The settings that apply unless others are given. */
    public static final RoutingSettings DEFAULT =
            new RoutingSettings(RoutingPolicy.PROBING, 2, 2, Duration.ofMillis(50), 6, 500, 10, 50);

    public RoutingSettings {
        Objects.requireNonNull(policy, "policy");
        Objects.requireNonNull(probeTimeout, "probeTimeout");
        if (probes < 1 || maxProbes < probes || loadWeight < 0) {
            throw new IllegalArgumentException("at least one probe is needed");
        }
    }

    /** Returns a copy with another policy. */
    public RoutingSettings withPolicy(RoutingPolicy newPolicy) {
        return new RoutingSettings(
                newPolicy, probes, maxProbes, probeTimeout, loadWeight, spillMillis, runningMillis, prefixMillis);
    }

    /** Returns a copy with other numbers of probes. */
    public RoutingSettings withProbes(int newProbes, int newMaxProbes) {
        return new RoutingSettings(
                policy, newProbes, newMaxProbes, probeTimeout, loadWeight, spillMillis, runningMillis, prefixMillis);
    }

    /** Returns a copy that weighs a load differently against a wait. */
    public RoutingSettings withLoadWeight(double newLoadWeight) {
        return withCosts(newLoadWeight, spillMillis, runningMillis);
    }

    /** Returns a copy with other costs. */
    public RoutingSettings withCosts(double newLoadWeight, long newSpillMillis, long newRunningMillis) {
        return new RoutingSettings(
                policy, probes, maxProbes, probeTimeout, newLoadWeight, newSpillMillis, newRunningMillis, prefixMillis);
    }
}
