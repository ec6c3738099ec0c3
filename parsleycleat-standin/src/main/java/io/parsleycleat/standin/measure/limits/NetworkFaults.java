package io.parsleycleat.standin.measure.limits;

import java.time.Duration;

/**
 * How the simulated network misbehaves.
 *
 * <p>Immutable.
 *
 * @param loss share of messages that never arrive
 * @param duplication share of messages that arrive twice
 * @param delayed share of messages that arrive up to the largest delay later, and so out of order
 */
public record NetworkFaults(double loss, double duplication, double delayed, Duration largestDelay) {
    /** A network without faults. */
    public static final NetworkFaults NONE = new NetworkFaults(0, 0, 0, Duration.ZERO);
}
