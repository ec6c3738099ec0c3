package io.parsleycleat.core.version.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * How a {@link ConfigurationStore} reads, spreads and records the configuration.
 *
 * <p>Created once by the process; immutable and safe to share.
 *
 * @param stream the stream of the log that holds the configuration
 * @param logWait how long the log may hold back the answer to a read while there is nothing new
 * @param pullWait how long a peer may hold back its answer while there is nothing new
 * @param changeTimeout how long a change may take until it is read back
 * @param logRetention how long the log keeps a record
 * @param tailersPerDataCentre how many processes of each data centre read the log
 */
public record StoreSettings(
        String stream,
        Duration logWait,
        Duration pullWait,
        Duration changeTimeout,
        Duration logRetention,
        int tailersPerDataCentre) {
    /** The settings that fit most deployments. */
    public static final StoreSettings DEFAULTS = new StoreSettings(
            "configuration",
            Duration.ofSeconds(3),
            Duration.ofSeconds(3),
            Duration.ofSeconds(8),
            Duration.ofDays(7),
            2);

    public StoreSettings {
        Objects.requireNonNull(stream, "stream");
        Objects.requireNonNull(logWait, "logWait");
        Objects.requireNonNull(pullWait, "pullWait");
        Objects.requireNonNull(changeTimeout, "changeTimeout");
        Objects.requireNonNull(logRetention, "logRetention");
        if (tailersPerDataCentre < 1) {
            throw new IllegalArgumentException("tailersPerDataCentre must be at least 1");
        }
    }

    /** Returns a copy for a log that keeps records for another time. */
    public StoreSettings withLogRetention(Duration newLogRetention) {
        return new StoreSettings(stream, logWait, pullWait, changeTimeout, newLogRetention, tailersPerDataCentre);
    }

    /** Returns a copy with other waits for news. */
    public StoreSettings withWaits(Duration newLogWait, Duration newPullWait) {
        return new StoreSettings(stream, newLogWait, newPullWait, changeTimeout, logRetention, tailersPerDataCentre);
    }

    /** Returns a copy with another number of readers in each data centre. */
    public StoreSettings withTailersPerDataCentre(int newTailersPerDataCentre) {
        return new StoreSettings(stream, logWait, pullWait, changeTimeout, logRetention, newTailersPerDataCentre);
    }
}
