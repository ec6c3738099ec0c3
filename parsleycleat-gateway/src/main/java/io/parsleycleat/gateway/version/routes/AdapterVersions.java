package io.parsleycleat.gateway.version.routes;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The newest named version of each adapter. Versions never go back.
 *
 * <p>One a process; safe to share between threads.
 */
public final class AdapterVersions {
    private final Map<AdapterId, KnownVersion> newestVersion = new ConcurrentHashMap<>();

    /** A version and when this process learnt of it. */
    public record KnownVersion(long version, long receivedNanos) {}

    /**
     * Takes a version that was named.
     *
     * @return whether it is newer than what was known
     */
    public boolean recordVersion(AdapterId adapter, long version, long nowNanos) {
        long knownVersion = newestVersion(adapter);
        newestVersion.merge(
                adapter, new KnownVersion(version, nowNanos), (old, n) -> n.version() > old.version() ? n : old);
        return version > knownVersion;
    }

    /** Returns the newest named version, or 0 when none was named. */
    public long newestVersion(AdapterId adapter) {
        KnownVersion named = newestVersion.get(adapter);
        return named == null ? 0 : named.version();
    }

    /** Returns when the newest version was learnt, in nanoseconds of the steady clock; 0 when none was named. */
    public long receivedNanos(AdapterId adapter) {
        KnownVersion named = newestVersion.get(adapter);
        return named == null ? 0 : named.receivedNanos();
    }
}
