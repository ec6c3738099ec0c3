package io.parsleycleat.daemon;

import java.nio.file.Path;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** The command-line options of a daemon. Filled in by args4j; used by one thread. */
public final class DaemonOptions {
    @Option(name = "--settings", metaVar = "FILE", usage = "JSON file with the settings")
    private @Nullable Path settings;

    @Option(name = "--check-settings", usage = "check the settings and exit")
    private boolean checkSettings;

    @Option(name = "--help", usage = "print this help and exit")
    private boolean help;

    @Option(name = "--version", usage = "print the version and exit")
    private boolean version;

    Optional<Path> settings() {
        return Optional.ofNullable(settings);
    }

    boolean isCheckSettings() {
        return checkSettings;
    }

    boolean isHelp() {
        return help;
    }

    boolean isVersion() {
        return version;
    }
}
