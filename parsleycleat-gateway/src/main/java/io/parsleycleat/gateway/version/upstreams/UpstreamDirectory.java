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
 * The upstreams that can be used, by id and by service.
 *
 * <p>An entry that lapsed while the store was away may come back shortly after the store does, so removals that arrive
 * then are put off until the grace time is over; all others hold at once.
 *
 * <p>An upstream that starts anew at its address, under another id, takes the place of the one before, whose entry
 * stays in the store until it lapses.
 *
 * <p>One a process; safe to share between threads.
 */
public final class UpstreamDirectory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Map<String, Upstream> upstreams = new ConcurrentHashMap<>();
    private final Map<String, Boolean> expiredIds = new ConcurrentHashMap<>();
    private final List<BiConsumer<@Nullable Upstream, @Nullable Upstream>> listeners = new CopyOnWriteArrayList<>();

    /** Calls back with each upstream's description before and after a change; null where there is none. */
    public void addListener(BiConsumer<@Nullable Upstream, @Nullable Upstream> listener) {
        listeners.add(listener);
    }

    /**
     * Takes an upstream's newest description. A store that was restored from an older copy may tell again of an earlier
     * start, or of the time before an upstream began to leave; neither is believed.
     */
    public void put(Upstream described) {
        expiredIds.remove(described.id());
        Upstream before = upstreams.get(described.id());
        if (before != null && before.startMillis() > described.startMillis()) {
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, described.id())
                    .log("a description of the earlier start %d is passed over", described.startMillis());
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

    /** Notes that an upstream's entry lapsed while the store was away, so that it may come back. */
    public void markExpired(String id) {
        if (upstreams.containsKey(id)) {
            expiredIds.put(id, true);
        }
    }

    /** Removes the upstreams whose lapsed entries did not come back. */
    public void removeExpired() {
        List.copyOf(expiredIds.keySet()).forEach(this::remove);
    }

    /** Returns an upstream by its id. */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /** Returns the upstreams of a service that take new requests. */
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
