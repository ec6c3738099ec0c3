package io.parsleycleat.core.connection.platform;

/**
 * What the weight store allows: loads started a second, and loads in transit at full speed.
 */
public record WeightStoreLimits(double loadsPerSecond, int fullSpeedTransits, int transits) {
    public WeightStoreLimits {
        if (loadsPerSecond <= 0 || fullSpeedTransits < 1 || transits < 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}
