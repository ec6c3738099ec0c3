package io.parsleycleat.core.process.common;

import io.parsleycleat.core.connection.platform.WeightStoreLimits;
import io.parsleycleat.core.process.settings.SettingsNode;
import java.net.URI;
import java.time.Duration;
import java.util.Objects;

/**
 * Where the platform's services are, and how they are used.
 *
 * @param vmListInterval time between two readings of the VM list
 * @param logRetention how long the log keeps a record
 * @param weightStoreLimits what the weight store allows
 */
public record PlatformSettings(
        URI log,
        URI vmList,
        URI weightStore,
        Duration vmListInterval,
        Duration logRetention,
        WeightStoreLimits weightStoreLimits) {
    private static final int MAX_RETENTION_SECONDS = 365 * 24 * 3600;

    public PlatformSettings {
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(vmList, "vmList");
        Objects.requireNonNull(weightStore, "weightStore");
        Objects.requireNonNull(vmListInterval, "vmListInterval");
        Objects.requireNonNull(logRetention, "logRetention");
        Objects.requireNonNull(weightStoreLimits, "weightStoreLimits");
    }

    /** Reads the settings from their object. */
    public static PlatformSettings read(SettingsNode node) {
        PlatformSettings settings = new PlatformSettings(
                node.serviceAddress("log"),
                node.serviceAddress("vmList"),
                node.serviceAddress("weightStore"),
                node.millis("vmListIntervalMillis", 1_000, 100, 60_000),
                Duration.ofSeconds(node.integer("logRetentionSeconds", 7 * 24 * 3600, 1, MAX_RETENTION_SECONDS)),
                new WeightStoreLimits(
                        node.number("weightStoreLoadsPerSecond", 3, 0.01, 10_000),
                        node.integer("weightStoreTransits", 8, 1, 10_000),
                        0));
        node.end();
        return settings;
    }
}
