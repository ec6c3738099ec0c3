package io.parsleycleat.core.version.configuration;

import java.util.function.Consumer;

/** A configuration that a test gives and that never changes. */
public record FixedConfiguration(ConfigurationView current) implements ConfigurationSource {
    /** A configuration without items. */
    public static final FixedConfiguration EMPTY = new FixedConfiguration(ConfigurationState.EMPTY);

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public void onChange(Consumer<ConfigurationView> listener) {
        listener.accept(current);
    }
}
