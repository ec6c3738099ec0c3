package io.parsleycleat.core.request.outcome;

import java.time.Duration;
import java.util.Objects;

/**
 * How a {@link LogIntentLedger} uses the log.
 *
 * <p>Immutable and safe to share.
 *
 * @param shards streams for each service
 * @param window how long a key is remembered after the time that it carries
 * @param clockTolerance by how much two machines' clocks may differ
 * @param timeout how long a request waits for its intent to be read back
 * @param appendInterval least time between two appends to one stream
 * @param maxGroup most records in one append
 * @param maxOutcomeBytes largest answer body that is recorded
 */
public record LedgerSettings(
        int shards,
        Duration window,
        Duration clockTolerance,
        Duration timeout,
        Duration appendInterval,
        int maxGroup,
        int maxOutcomeBytes) {
    /** Settings that suit a log of several hundred appends a second. */
    public static final LedgerSettings DEFAULTS = new LedgerSettings(
            2,
            Duration.ofHours(1),
            Duration.ofSeconds(30),
            Duration.ofMillis(1500),
            Duration.ofMillis(20),
            256,
            16_384);

    public LedgerSettings {
        Objects.requireNonNull(window, "window");
        Objects.requireNonNull(clockTolerance, "clockTolerance");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(appendInterval, "appendInterval");
        if (shards < 1 || maxGroup < 1) {
            throw new IllegalArgumentException("shards and group size must be positive");
        }
    }

    /** Returns a copy with another number of streams for each service. */
    public LedgerSettings withShards(int newShards) {
        return new LedgerSettings(
                newShards, window, clockTolerance, timeout, appendInterval, maxGroup, maxOutcomeBytes);
    }

    /** Returns a copy with another window. */
    public LedgerSettings withWindow(Duration newWindow) {
        return new LedgerSettings(
                shards, newWindow, clockTolerance, timeout, appendInterval, maxGroup, maxOutcomeBytes);
    }

    /** Returns a copy with another wait for the log. */
    public LedgerSettings withTimeout(Duration newTimeout) {
        return new LedgerSettings(
                shards, window, clockTolerance, newTimeout, appendInterval, maxGroup, maxOutcomeBytes);
    }

    /** Returns a copy with another least time between appends. */
    public LedgerSettings withAppendInterval(Duration newAppendInterval) {
        return new LedgerSettings(
                shards, window, clockTolerance, timeout, newAppendInterval, maxGroup, maxOutcomeBytes);
    }

    /** Returns a copy with another limit on recorded bodies. */
    public LedgerSettings withMaxOutcomeBytes(int newMaxOutcomeBytes) {
        return new LedgerSettings(
                shards, window, clockTolerance, timeout, appendInterval, maxGroup, newMaxOutcomeBytes);
    }
}
