package io.parsleycleat.gateway.version.upstreams;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Holds the known upstreams, by id and by service.
 *
 * <p>A record that expired while the store was unreachable may be written again shortly after the store is reachable,
 * so removals that arrive then are delayed until the grace time is over; all other removals apply at once.
 *
 * <p>An upstream that starts again at its address, under another id, replaces the earlier one, whose record stays in
 * the store until it expires.
 *
 * <p>One per process; safe to share between threads.
 */
public final class UpstreamDirectory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Map<String, Upstream> upstreams = new ConcurrentHashMap<>();
    private final Map<String, Boolean> expiredIds = new ConcurrentHashMap<>();
    private final List<BiConsumer<@Nullable Upstream, @Nullable Upstream>> listeners = new CopyOnWriteArrayList<>();

    /**
     * Adds a listener that is called with an upstream's description before and after each change; null where there is
     * none.
     */
    public void addListener(BiConsumer<@Nullable Upstream, @Nullable Upstream> listener) {
        listeners.add(listener);
    }

    /**
     * Stores an upstream's newest description. A store that was restored from an older copy may return the description
     * of an earlier start, which is ignored, or one from before the upstream began to leave, which does not end its
     * leaving.
     */
    public void put(Upstream described) {
        expiredIds.remove(described.id());
        Upstream before = upstreams.get(described.id());
        if (before != null && before.startMillis() > described.startMillis()) {
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, described.id())
                    .log("a description of the earlier start %d is ignored", described.startMillis());
            return;
        }
        boolean stillLeaving = before != null && before.leaving() && before.isSameStart(described);
        Upstream upstream = stillLeaving ? described.asLeaving() : described;
        upstreams.put(upstream.id(), upstream);
        if (before == null || !before.isSameStart(upstream)) {
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, upstream.id())
                    .log(
                            "upstream of %s at %s, started %d",
                            upstream.service(), upstream.address(), upstream.startMillis());
        } else if (before.leaving() != upstream.leaving()) {
            logger.atInfo().with(LogKeys.UPSTREAM, upstream.id()).log("upstream leaving: %s", upstream.leaving());
        }
        notifyListeners(before, upstream);
    }

    /** Removes an upstream that is gone. */
    public void remove(String id) {
        expiredIds.remove(id);
        Upstream before = upstreams.remove(id);
        if (before != null) {
            logger.atInfo().with(LogKeys.UPSTREAM, id).log("upstream of %s is gone", before.service());
            notifyListeners(before, null);
        }
    }

    /**
     * Records that the record of an upstream expired while the store was unreachable, so that it may be written again.
     */
    public void markExpired(String id) {
        if (upstreams.containsKey(id)) {
            expiredIds.put(id, true);
        }
    }

    /** Removes the upstreams whose expired records were not written again. */
    public void removeExpired() {
        List.copyOf(expiredIds.keySet()).forEach(this::remove);
    }

    /** Returns an upstream by id. */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /** Returns the upstreams of a service that accept new requests. */
    public List<Upstream> usable(String service) {
        return upstreams.values().stream()
                .filter(u -> !u.leaving() && u.service().equals(service) && !isReplaced(u))
                .toList();
    }

    /** Returns all upstreams. */
    public List<Upstream> all() {
        return List.copyOf(upstreams.values());
    }

    private boolean isReplaced(Upstream upstream) {
        return upstreams.values().stream()
                .anyMatch(o -> o.address().equals(upstream.address()) && o.startMillis() > upstream.startMillis());
    }

    private void notifyListeners(@Nullable Upstream before, @Nullable Upstream after) {
        if (!Objects.equals(before, after)) {
            listeners.forEach(l -> l.accept(before, after));
        }
    }
}
