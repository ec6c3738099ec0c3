package io.parsleycleat.gateway.request.choose;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;
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

    /** Jitter of the retry delay, as a share of the delay, so that callers do not all retry at once. */
    private static final double JITTER_SHARE = 0.5;

    private final TimeSource time;
    private final DoubleSupplier random;
    private final Map<UpstreamStart, KnownLimit> limits = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamStart, KnownLimit> eldest) {
            return size() > MAX_STARTS;
        }
    };

    /**
     * A limit, when it was last named, and until when no request needs to be tried.
     *
     * @param closedPriority the priority from which requests need not be tried; more urgent ones may get a turn sooner
     */
    private record KnownLimit(RequestLimit limit, long namedNanos, long closedUntilNanos, int closedPriority) {
        KnownLimit closedUntil(long nanos, int priority) {
            return new KnownLimit(limit, namedNanos, nanos, priority);
        }
    }

    /**
     * Creates an instance without limits.
     *
     * @param random supplies numbers from 0 to 1 for the jitter of retry delays
     */
    public UpstreamLimits(TimeSource time, DoubleSupplier random) {
        this.time = time;
        this.random = random;
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
        limits.put(
                start,
                before == null
                        ? new KnownLimit(named, now, now, 0)
                        : new KnownLimit(named, now, before.closedUntilNanos(), before.closedPriority()));
        logChange(start, before == null ? null : before.limit(), named);
    }

    /** Records that an upstream names no limit any more. */
    public synchronized void forget(UpstreamStart start) {
        KnownLimit before = limits.remove(start);
        if (before != null) {
            logChange(start, before.limit(), null);
        }
    }

    /**
     * Records that no request of a priority, or a less urgent one, may be sent to a limited upstream for some time.
     *
     * @param priority 0 is the most urgent
     */
    public synchronized void close(UpstreamStart start, Duration pause, int priority) {
        limits.computeIfPresent(
                start, (s, known) -> known.closedUntil(time.monotonicNanos() + pause.toNanos(), priority));
    }

    /** Returns the limit of an upstream, if one is known. */
    public synchronized Optional<RequestLimit> limit(Upstream upstream) {
        return Optional.ofNullable(limits.get(UpstreamStart.of(upstream))).map(KnownLimit::limit);
    }

    /** Returns how long the limit of an upstream has been known without being named again; zero if none is known. */
    public synchronized Duration knownFor(Upstream upstream) {
        KnownLimit known = limits.get(UpstreamStart.of(upstream));
        return known == null ? Duration.ZERO : Duration.ofNanos(time.monotonicNanos() - known.namedNanos());
    }

    /** Returns whether an upstream has a limit. */
    public boolean isLimited(Upstream upstream) {
        return limit(upstream).isPresent();
    }

    /** Returns how long no request of a priority needs to be tried at an upstream because of its limit. */
    public synchronized Duration closedFor(Upstream upstream, int priority) {
        KnownLimit known = limits.get(UpstreamStart.of(upstream));
        return known == null || priority < known.closedPriority()
                ? Duration.ZERO
                : Duration.ofNanos(Math.max(0, known.closedUntilNanos() - time.monotonicNanos()));
    }

    /** Returns after which time a caller should retry who is refused for a time until the next request may be tried. */
    public Duration retryAfter(Duration closedFor) {
        return Duration.ofNanos((long) (closedFor.toNanos() * (1 + JITTER_SHARE * random.getAsDouble())));
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
