package io.parsleycleat.core.process.lease;

import java.time.Duration;
import java.util.Objects;

/**
 * How long a claim on an upstream lasts without a confirmation.
 *
 * <p>Immutable and safe to share. All sides of a fleet must use the same duration.
 *
 * @param duration how long a confirmation is good for
 * @param renewal age of the last confirmation from which on the side reads the log itself
 * @param margin what a new side waits on top of the duration, for clocks that run at different speeds
 */
public record LeaseSettings(Duration duration, Duration renewal, Duration margin) {
    /** Settings under which 600 idle sides cause 120 reads and no append a second. */
    public static final LeaseSettings DEFAULTS =
            new LeaseSettings(Duration.ofSeconds(15), Duration.ofSeconds(5), Duration.ofSeconds(1));

    public LeaseSettings {
        Objects.requireNonNull(duration, "duration");
        Objects.requireNonNull(renewal, "renewal");
        Objects.requireNonNull(margin, "margin");
        if (renewal.compareTo(duration) >= 0) {
            throw new IllegalArgumentException("the renewal must be shorter than the lease");
        }
    }
}
