package io.parsleycleat.gateway.connection.upstream;

import io.netty.channel.EventLoop;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectory;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/**
 * Keeps one connection pool for each start of an upstream, so that a connection is never used for a later process at
 * the same address.
 *
 * <p>One for each entry; safe to share between threads.
 */
public final class UpstreamConnectionPools {
    private final EventLoop eventLoop;
    private final ReadTurns turns;
    private final TimeSource time;
    private final ToIntFunction<Upstream> maxConnections;
    private final Map<String, UpstreamConnectionPool> pools = new ConcurrentHashMap<>();

    /**
     * Creates pools that are closed when the directory reports that their upstream restarted or left.
     *
     * @param maxConnections returns how many connections this entry may open to an upstream; read before each connect
     */
    public UpstreamConnectionPools(
            EventLoop eventLoop, TimeSource time, UpstreamDirectory directory, ToIntFunction<Upstream> maxConnections) {
        this.eventLoop = eventLoop;
        this.turns = new ReadTurns(eventLoop);
        this.time = time;
        this.maxConnections = maxConnections;
        directory.addListener(this::onUpstreamChange);
    }

    /** Returns the connection pool of an upstream, created at the first call. */
    public UpstreamConnectionPool poolFor(Upstream upstream) {
        return pools.computeIfAbsent(
                upstream.id(),
                id -> new UpstreamConnectionPool(
                        upstream.address(), eventLoop, turns, time, () -> maxConnections.applyAsInt(upstream)));
    }

    private void onUpstreamChange(@Nullable Upstream before, @Nullable Upstream after) {
        if (before != null && (after == null || !before.isSameStart(after))) {
            UpstreamConnectionPool pool = pools.remove(before.id());
            if (pool != null) {
                pool.close();
            }
        }
    }
}
