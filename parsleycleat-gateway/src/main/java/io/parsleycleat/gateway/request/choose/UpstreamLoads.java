package io.parsleycleat.gateway.request.choose;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectory;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Holds the load of each upstream; a new start of an upstream begins with an empty one.
 *
 * <p>One instance per entry; safe for use by several threads.
 */
public final class UpstreamLoads {
    private final TimeSource time;
    private final Map<String, UpstreamLoad> loads = new ConcurrentHashMap<>();

    /** Creates an instance that discards the load of an upstream when the directory reports its end or a new start. */
    public UpstreamLoads(TimeSource time, UpstreamDirectory directory) {
        this.time = time;
        directory.addListener(this::onDirectoryChange);
    }

    /** Returns the load of an upstream, creating it on first use. */
    public UpstreamLoad of(Upstream upstream) {
        return loads.computeIfAbsent(upstream.id(), id -> new UpstreamLoad(time));
    }

    private void onDirectoryChange(@Nullable Upstream before, @Nullable Upstream after) {
        if (before != null && (after == null || !before.isSameStart(after))) {
            loads.remove(before.id());
        }
    }
}
