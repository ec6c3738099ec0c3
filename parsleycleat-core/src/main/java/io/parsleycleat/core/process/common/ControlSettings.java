package io.parsleycleat.core.process.common;

import io.parsleycleat.core.process.settings.SettingsNode;
import io.parsleycleat.core.version.configuration.keys.CutOffPolicy;
import java.time.Duration;
import java.util.Objects;

/**
 * How a process behaves when it hears nothing, and when it stops.
 *
 * @param cutOff silence of log, VM list and peers after which a process counts as cut off
 * @param cutOffPolicy what a process that cannot know withdrawn keys does with keyed routes
 * @param leaveDelay time between the announcement of a stop and the last new request
 * @param drainTimeout time that open requests get to end at a stop
 */
public record ControlSettings(Duration cutOff, CutOffPolicy cutOffPolicy, Duration leaveDelay, Duration drainTimeout) {
    public ControlSettings {
        Objects.requireNonNull(cutOff, "cutOff");
        Objects.requireNonNull(cutOffPolicy, "cutOffPolicy");
        Objects.requireNonNull(leaveDelay, "leaveDelay");
        Objects.requireNonNull(drainTimeout, "drainTimeout");
    }

    /** Reads the settings from their object. */
    public static ControlSettings read(SettingsNode node) {
        ControlSettings settings = new ControlSettings(
                node.millis("cutOffMillis", 10_000, 1_000, 600_000),
                node.choice("cutOffPolicy", CutOffPolicy.class, CutOffPolicy.values()[0]),
                node.millis("leaveDelayMillis", 2_000, 0, 600_000),
                node.millis("drainTimeoutMillis", 120_000, 0, 3_600_000));
        node.end();
        return settings;
    }
}
