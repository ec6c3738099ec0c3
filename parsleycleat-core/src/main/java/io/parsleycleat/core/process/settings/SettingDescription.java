package io.parsleycleat.core.process.settings;

import java.util.Objects;

/** What is known of one settings field: its path, what is allowed, and its default ("none" if it must be given). */
public record SettingDescription(String path, String allowed, String defaultValue) {
    public SettingDescription {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(allowed, "allowed");
        Objects.requireNonNull(defaultValue, "defaultValue");
    }
}
