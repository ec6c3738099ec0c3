package io.parsleycleat.core.version.configuration;

import java.util.function.Consumer;

/**
 * Where a process finds the newest configuration that it knows.
 *
 * <p>One a process; implementations are safe to share between threads.
 */
public interface ConfigurationSource {
    /** Returns the newest view. It never goes back to an earlier version. */
    ConfigurationView current();

    /** Returns whether a configuration was read since the start. */
    boolean isReady();

    /** Calls a listener after each change, and at once with the current view. */
    void onChange(Consumer<ConfigurationView> listener);
}
