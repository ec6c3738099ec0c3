package io.parsleycleat.core.process.membership;

import java.time.Duration;

/**
 * The times by which entries agree on who holds budgets.
 *
 * <p>Created from the settings at the start; immutable and safe to share.
 *
 * @param tickInterval how often the VM list is compared with the epoch
 * @param hysteresis how long the VM list must differ in the same way before a new epoch is proposed
 * @param proposalStep how much longer each further proposer waits, so that usually only one proposes
 * @param standing how long an entry goes on without any confirmation that it still belongs to the fleet
 * @param lapse how long an entry must be absent and silent before its parts are taken over; well above the standing
 *     and the lag of the VM list together
 * @param islandBound how long an entry goes on that reaches most entries of its region but not the platform
 */
public record EpochSettings(
        Duration tickInterval,
        Duration hysteresis,
        Duration proposalStep,
        Duration standing,
        Duration lapse,
        Duration islandBound) {
    /** What suits a VM list that lags by up to five seconds and regions that lose each other for an hour. */
    public static final EpochSettings DEFAULT = new EpochSettings(
            Duration.ofMillis(500),
            Duration.ofSeconds(3),
            Duration.ofMillis(400),
            Duration.ofSeconds(5),
            Duration.ofSeconds(20),
            Duration.ofHours(2));

    private static final int STANDINGS_PER_LAPSE = 3;

    public EpochSettings {
        if (lapse.compareTo(standing.multipliedBy(STANDINGS_PER_LAPSE)) < 0) {
            throw new IllegalArgumentException("the lapse must be at least three times the standing");
        }
    }

    /** Returns a copy with another hysteresis. */
    public EpochSettings withHysteresis(Duration newHysteresis) {
        return new EpochSettings(tickInterval, newHysteresis, proposalStep, standing, lapse, islandBound);
    }

    /** Returns a copy with another bound of entries that do not reach the platform. */
    public EpochSettings withIslandBound(Duration newIslandBound) {
        return new EpochSettings(tickInterval, hysteresis, proposalStep, standing, lapse, newIslandBound);
    }
}
