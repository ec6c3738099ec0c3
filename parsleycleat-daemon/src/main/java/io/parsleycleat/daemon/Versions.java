package io.parsleycleat.daemon;

/** Tells the version of this build. Stateless. */
public final class Versions {
    private static final String UNPACKAGED = "development";

    private Versions() {}

    /** Returns the version that the archive carries. */
    public static String current() {
        String version = Versions.class.getPackage().getImplementationVersion();
        return version == null ? UNPACKAGED : version;
    }
}
