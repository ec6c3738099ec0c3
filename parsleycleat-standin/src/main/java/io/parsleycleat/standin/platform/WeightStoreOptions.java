package io.parsleycleat.standin.platform;

import java.time.Duration;
import java.util.Objects;

/**
 * What the weight store stand-in allows. Immutable.
 *
 * @param loadsPerSecond loads started a second; more are refused with status 429
 * @param burst loads that may start at once after a pause
 * @param transitTime time of a load while no more than the full-speed number are in transit
 * @param fullSpeedTransits loads in transit that do not slow each other down
 */
public record WeightStoreOptions(double loadsPerSecond, double burst, Duration transitTime, int fullSpeedTransits) {
    /** Three loads a second, a quarter second each, eight in transit at full speed. */
    public static final WeightStoreOptions DEFAULT = new WeightStoreOptions(3, 3, Duration.ofMillis(250), 8);

    public WeightStoreOptions {
        Objects.requireNonNull(transitTime, "transitTime");
        if (loadsPerSecond <= 0 || burst < 1 || transitTime.isNegative() || fullSpeedTransits < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /** Returns a copy with another rate, and a burst of one second's loads. */
    public WeightStoreOptions withLoadsPerSecond(double newLoadsPerSecond) {
        return new WeightStoreOptions(
                newLoadsPerSecond, Math.max(1, newLoadsPerSecond), transitTime, fullSpeedTransits);
    }

    /** Returns a copy with another time of a load. */
    public WeightStoreOptions withTransitTime(Duration newTransitTime) {
        return new WeightStoreOptions(loadsPerSecond, burst, newTransitTime, fullSpeedTransits);
    }
}
