package io.parsleycleat.core.connection.upstream;

import java.util.Objects;

/** One version of one adapter; the unit that a slot holds. Immutable and safe to share. */
public record AdapterVersion(String adapterId, String version) {
    public AdapterVersion {
        Objects.requireNonNull(adapterId, "adapterId");
        Objects.requireNonNull(version, "version");
    }

    /** Returns the name that callers and engines use, {@code adapter@version}. */
    public String label() {
        return adapterId + "@" + version;
    }

    @Override
    public String toString() {
        return label();
    }
}
