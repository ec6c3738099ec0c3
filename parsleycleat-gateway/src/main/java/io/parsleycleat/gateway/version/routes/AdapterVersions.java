package io.parsleycleat.gateway.version.routes;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keeps the newest version of each adapter that operators have named. A version is never replaced by an earlier one.
 *
 * <p>One per process; safe to share between threads.
 */
public final class AdapterVersions {
    private final Map<AdapterId, KnownVersion> newestVersion = new ConcurrentHashMap<>();

    /** A version and when this process received it. */
    public record KnownVersion(long version, long receivedNanos) {}

    /**
     * Records a version that was named by operators.
     *
     * @return whether it is newer than the known version
     */
    public boolean recordVersion(AdapterId adapter, long version, long nowNanos) {
        long knownVersion = newestVersion(adapter);
        newestVersion.merge(
                adapter, new KnownVersion(version, nowNanos), (old, n) -> n.version() > old.version() ? n : old);
        return version > knownVersion;
    }

    /** Returns the newest known version, or 0 if none is known. */
    public long newestVersion(AdapterId adapter) {
        KnownVersion named = newestVersion.get(adapter);
        return named == null ? 0 : named.version();
    }

    /** Returns when the newest version was received, in nanoseconds of the monotonic clock; 0 if none is known. */
    public long receivedNanos(AdapterId adapter) {
        KnownVersion named = newestVersion.get(adapter);
        return named == null ? 0 : named.receivedNanos();
    }
}
