package io.parsleycleat.core.process.result;

import java.util.Objects;

/**
 * Where a problem was found: a file, peer or upstream, and a path within it.
 *
 * <p>Immutable and safe to share.
 */
public record Location(String source, String path) {
    /** The location of a problem that has none. */
    public static final Location NONE = new Location("", "");

    public Location {
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(path, "path");
    }

    /** Returns a location without a path. */
    public static Location of(String source) {
        return new Location(source, "");
    }

    @Override
    public String toString() {
        return path.isEmpty() ? source : source + " at " + path;
    }
}
