package io.parsleycleat.standin.load;

import java.util.Objects;

/**
 * What a run of the load tool is made of. Immutable.
 *
 * @param rateFactor factor on the deployment's requests a second
 * @param zipfExponent skew of the adapters' popularity
 * @param shiftSeconds time after which the popularity shifts
 * @param shiftRanks ranks by which each adapter's popularity moves at a shift
 */
public record LoadOptions(
        Deployment deployment,
        long seed,
        int entries,
        int adapters,
        int slots,
        int batchSize,
        int warmUpSeconds,
        int seconds,
        double rateFactor,
        double zipfExponent,
        int shiftSeconds,
        int shiftRanks,
        String routingPolicy,
        String queuePolicy) {
    public LoadOptions {
        Objects.requireNonNull(deployment, "deployment");
        Objects.requireNonNull(routingPolicy, "routingPolicy");
        Objects.requireNonNull(queuePolicy, "queuePolicy");
        if (entries < 1 || adapters < 1 || slots < 1 || batchSize < 1 || warmUpSeconds < 0 || seconds < 1) {
            throw new IllegalArgumentException("sizes must be positive");
        }
        if (rateFactor <= 0 || zipfExponent <= 0 || shiftSeconds < 1 || shiftRanks < 0) {
            throw new IllegalArgumentException("rates must be positive");
        }
    }

    /** Returns the requests offered a second when every account keeps to its rate. */
    public double requestsPerSecond() {
        return deployment.requestsPerSecond() * rateFactor;
    }

    /** Returns the time from the first to the last request. */
    public int totalSeconds() {
        return warmUpSeconds + seconds;
    }
}
