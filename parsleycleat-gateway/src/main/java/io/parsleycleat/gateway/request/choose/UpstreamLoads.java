package io.parsleycleat.gateway.request.choose;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectory;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * The loads of all upstreams, begun anew with each start of one.
 *
 * <p>One an entry; safe to share between threads.
 */
public final class UpstreamLoads {
    private final TimeSource time;
    private final Map<String, UpstreamLoad> loads = new ConcurrentHashMap<>();

    /** Creates loads that follow a directory. */
    public UpstreamLoads(TimeSource time, UpstreamDirectory directory) {
        this.time = time;
        directory.addListener(this::changed);
    }

    /** Returns the load of an upstream. */
    public UpstreamLoad of(Upstream upstream) {
        return loads.computeIfAbsent(upstream.id(), id -> new UpstreamLoad(time));
    }

    private void changed(@Nullable Upstream before, @Nullable Upstream after) {
        if (before != null && (after == null || !before.isSameStart(after))) {
            loads.remove(before.id());
        }
    }
}
