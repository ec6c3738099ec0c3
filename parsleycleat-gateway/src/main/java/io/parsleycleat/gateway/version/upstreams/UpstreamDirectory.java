package io.parsleycleat.gateway.version.upstreams;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
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
 * <p>An upstream whose newest description cannot be decoded gets no new requests until one can. It may still run, so it
 * stays known, and its running requests, connections and load are left alone.
 *
 * <p>A start that lies too far ahead to have taken place is earlier than any that may have. Where all starts do,
 * as when the own clock is wrong, they are compared as they are.
 *
 * <p>One per process; safe to share between threads.
 */
public final class UpstreamDirectory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** More than clocks of VMs differ; a start that lies further ahead of the own clock did not take place. */
    private static final Duration MAX_CLOCK_DIFFERENCE = Duration.ofDays(1);

    private final TimeSource time;

    private final Map<String, Upstream> upstreams = new ConcurrentHashMap<>();
    private final Map<String, Boolean> expiredIds = new ConcurrentHashMap<>();
    private final Map<String, Boolean> undescribedIds = new ConcurrentHashMap<>();
    private final List<BiConsumer<@Nullable Upstream, @Nullable Upstream>> listeners = new CopyOnWriteArrayList<>();

    /** Creates an empty directory. */
    public UpstreamDirectory() {
        this(TimeSource.SYSTEM);
    }

    /** Creates an empty directory with a source of the time of day. */
    public UpstreamDirectory(TimeSource time) {
        this.time = time;
    }

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
        if (before != null && isLaterStart(before, described)) {
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, described.id())
                    .log("a description of the earlier start %d is ignored", described.startMillis());
            return;
        }
        undescribedIds.remove(described.id());
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

    /** Records that the newest description of an upstream cannot be decoded. */
    public void markUndescribed(String id) {
        if (upstreams.containsKey(id) && undescribedIds.put(id, true) == null) {
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, id)
                    .log("upstream gets nothing new until its description can be decoded");
        }
    }

    /** Removes an upstream that is gone. */
    public void remove(String id) {
        expiredIds.remove(id);
        undescribedIds.remove(id);
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

    /** Returns the upstreams of a service that accept new requests and whose newest description is known. */
    public List<Upstream> usable(String service) {
        return upstreams.values().stream()
                .filter(u -> !u.leaving()
                        && u.service().equals(service)
                        && !undescribedIds.containsKey(u.id())
                        && !isReplaced(u))
                .toList();
    }

    /**
     * Returns whether a start of an upstream is known to accept nothing new: it leaves, or a later start has taken its
     * id or address. One without a description may go on.
     */
    public boolean isLeavingOrReplaced(Upstream start) {
        Upstream known = upstreams.get(start.id());
        boolean leaving = known != null && known.leaving() && known.isSameStart(start);
        boolean restarted = known != null && isLaterStart(known, start);
        return leaving || restarted || isReplaced(start);
    }

    /** Returns all upstreams. */
    public List<Upstream> all() {
        return List.copyOf(upstreams.values());
    }

    private boolean isReplaced(Upstream upstream) {
        return upstreams.values().stream()
                .anyMatch(o -> !o.id().equals(upstream.id())
                        && o.address().equals(upstream.address())
                        && isLaterStart(o, upstream));
    }

    private boolean isLaterStart(Upstream one, Upstream other) {
        long latest = time.wallMillis() + MAX_CLOCK_DIFFERENCE.toMillis();
        boolean possible = one.startMillis() <= latest;
        boolean otherPossible = other.startMillis() <= latest;
        return possible == otherPossible ? one.startMillis() > other.startMillis() : possible;
    }

    private void notifyListeners(@Nullable Upstream before, @Nullable Upstream after) {
        if (!Objects.equals(before, after)) {
            listeners.forEach(l -> notifyListener(l, before, after));
        }
    }

    /** Tells one listener. What it throws is logged, so that the others learn of the change as well. */
    private static void notifyListener(
            BiConsumer<@Nullable Upstream, @Nullable Upstream> listener,
            @Nullable Upstream before,
            @Nullable Upstream after) {
        try {
            listener.accept(before, after);
        } catch (RuntimeException | Error e) {
            logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
                    "a listener failed at the change from %s to %s", before, after);
        }
    }
}
