package io.parsleycleat.standin.http;

import java.util.Objects;

/**
 * The faults of a stand-in: how requests are treated, and a delay before each. Immutable.
 *
 * @param delayMillis the time that passes before a request is treated
 */
public record Faults(FaultMode mode, long delayMillis) {
    /** Requests are served at once. */
    public static final Faults NONE = new Faults(FaultMode.NONE, 0);

    public Faults {
        Objects.requireNonNull(mode, "mode");
        if (delayMillis < 0) {
            throw new IllegalArgumentException("delayMillis must not be negative");
        }
    }

    /** Returns faults of one mode without a delay. */
    public static Faults of(FaultMode mode) {
        return new Faults(mode, 0);
    }

    /** Returns a copy with another delay. */
    public Faults withDelayMillis(long newDelayMillis) {
        return new Faults(mode, newDelayMillis);
    }
}
