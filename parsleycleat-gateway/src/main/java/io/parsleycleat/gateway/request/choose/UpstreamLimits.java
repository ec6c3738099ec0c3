package io.parsleycleat.gateway.request.choose;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * What this entry knows of the request limits that upstreams name, and when its next request may be sent to them.
 *
 * <p>A limit applies to one start of an upstream. It ends when an answer names none to a request that was sent after
 * the limit was last named, because answers can overtake each other.
 *
 * <p>One instance per entry; guarded by its own lock.
 */
public final class UpstreamLimits {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Maximum number of upstream starts on record; the oldest one is removed first. */
    private static final int MAX_STARTS = 10_000;

    private final TimeSource time;
    private final Map<UpstreamStart, KnownLimit> limits = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamStart, KnownLimit> eldest) {
            return size() > MAX_STARTS;
        }
    };

    /** A limit, when it was last named, and until when no request needs to be tried. */
    private record KnownLimit(RequestLimit limit, long namedNanos, long closedUntilNanos) {
        KnownLimit closedUntil(long nanos) {
            return new KnownLimit(limit, namedNanos, nanos);
        }
    }

    /** Creates an instance without limits. */
    public UpstreamLimits(TimeSource time) {
        this.time = time;
    }

    /**
     * Records the limit that an answer of an upstream names.
     *
     * @param named null if it names none
     * @param sentNanos when the request was sent, in monotonic nanoseconds
     */
    public synchronized void onAnswer(Upstream upstream, @Nullable RequestLimit named, long sentNanos) {
        UpstreamStart start = UpstreamStart.of(upstream);
        KnownLimit before = limits.get(start);
        if (named == null && before != null && sentNanos - before.namedNanos() > 0) {
            forget(start);
        } else if (named != null) {
            onNamed(start, named);
        }
    }

    /** Records that an upstream named a limit, to this entry or to another process. */
    public synchronized void onNamed(UpstreamStart start, RequestLimit named) {
        if (!named.isReadable()) {
            return;
        }
        long now = time.monotonicNanos();
        KnownLimit before = limits.get(start);
        limits.put(start, new KnownLimit(named, now, before == null ? now : before.closedUntilNanos()));
        logChange(start, before == null ? null : before.limit(), named);
    }

    /** Records that an upstream names no limit any more. */
    public synchronized void forget(UpstreamStart start) {
        KnownLimit before = limits.remove(start);
        if (before != null) {
            logChange(start, before.limit(), null);
        }
    }

    /** Records that no request may be sent to a limited upstream for some time. */
    public synchronized void close(UpstreamStart start, Duration pause) {
        limits.computeIfPresent(start, (s, known) -> known.closedUntil(time.monotonicNanos() + pause.toNanos()));
    }

    /** Returns the limit of an upstream, if one is known. */
    public synchronized Optional<RequestLimit> limit(Upstream upstream) {
        return Optional.ofNullable(limits.get(UpstreamStart.of(upstream))).map(KnownLimit::limit);
    }

    /** Returns whether an upstream has a limit. */
    public boolean isLimited(Upstream upstream) {
        return limit(upstream).isPresent();
    }

    /** Returns how long no request needs to be tried at an upstream because of its limit; zero if one may be. */
    public synchronized Duration closedFor(Upstream upstream) {
        KnownLimit known = limits.get(UpstreamStart.of(upstream));
        return known == null
                ? Duration.ZERO
                : Duration.ofNanos(Math.max(0, known.closedUntilNanos() - time.monotonicNanos()));
    }

    private static void logChange(UpstreamStart start, @Nullable RequestLimit before, @Nullable RequestLimit after) {
        if (!Objects.equals(before, after)) {
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, start.upstreamId())
                    .log("upstream takes %s from all entries, before %s", describe(after), describe(before));
        }
    }

    private static String describe(@Nullable RequestLimit limit) {
        return limit == null ? "any number of requests" : limit.requestsPerSecond() + " requests a second";
    }
}
