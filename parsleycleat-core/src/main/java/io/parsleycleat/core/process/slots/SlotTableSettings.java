package io.parsleycleat.core.process.slots;

import java.time.Duration;
import java.util.Objects;

/**
 * How a slot table behaves. Immutable and safe to share.
 *
 * @param maxWaiting pins that may wait for loads
 * @param maxLoads loads that may be in progress or wait for a permit at once
 * @param freeSlotShare part of the slots that runs of the free tier may keep from being evicted
 * @param firstBackoff how long an adapter is not loaded again after its first failed load
 * @param maxBackoff the longest time that an adapter is not loaded again after repeated failures
 * @param popularityHalfLife time in which an adapter's popularity falls to half when nobody asks for it
 * @param initialLoadTime expected time of a load before one was seen
 */
public record SlotTableSettings(
        int maxWaiting,
        int maxLoads,
        double freeSlotShare,
        Duration firstBackoff,
        Duration maxBackoff,
        Duration popularityHalfLife,
        Duration initialLoadTime) {
    /** The settings that apply unless others are given. */
    public static final SlotTableSettings DEFAULT = new SlotTableSettings(
            256,
            1,
            0.5,
            Duration.ofMillis(500),
            Duration.ofSeconds(30),
            Duration.ofSeconds(120),
            Duration.ofMillis(300));

    public SlotTableSettings {
        Objects.requireNonNull(firstBackoff, "firstBackoff");
        Objects.requireNonNull(maxBackoff, "maxBackoff");
        Objects.requireNonNull(popularityHalfLife, "popularityHalfLife");
        Objects.requireNonNull(initialLoadTime, "initialLoadTime");
        if (maxWaiting < 1 || maxLoads < 1 || freeSlotShare <= 0 || freeSlotShare > 1) {
            throw new IllegalArgumentException("bounds must be positive and the share at most 1");
        }
    }

    /** Returns a copy with another bound of waiting pins. */
    public SlotTableSettings withMaxWaiting(int newMaxWaiting) {
        return new SlotTableSettings(
                newMaxWaiting, maxLoads, freeSlotShare, firstBackoff, maxBackoff, popularityHalfLife, initialLoadTime);
    }

    /** Returns a copy with another bound of simultaneous loads. */
    public SlotTableSettings withMaxLoads(int newMaxLoads) {
        return new SlotTableSettings(
                maxWaiting, newMaxLoads, freeSlotShare, firstBackoff, maxBackoff, popularityHalfLife, initialLoadTime);
    }
}
