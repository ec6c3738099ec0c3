package io.parsleycleat.gateway.request.choose;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.upstreams.DrainedDataCentres;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Tells which upstreams are sent no requests: permanently, because they are leaving, for a requested pause, or while
 * their data centre is drained. Each choice of an upstream, and each permission to send that arrives later, is checked
 * here.
 *
 * <p>A record applies to one start of an upstream. Later descriptions of that start do not change it, and it outlives
 * the removal of the description.
 *
 * <p>One instance per entry; guarded by its own lock.
 */
public final class UpstreamAvailability {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Upper bound of a requested pause; a longer one is treated as an error and cut to this value. */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(10);
    /** Maximum number of starts on record; the oldest one is removed first. */
    private static final int MAX_STARTS = 10_000;
    /** Jitter of the retry delay, as a share of the delay, so that callers do not all retry at once. */
    private static final double JITTER_SHARE = 0.5;

    private final TimeSource time;
    private final DoubleSupplier random;
    private final DrainedDataCentres drained;
    private final Map<UpstreamStart, Unavailability> unavailableStarts = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamStart, Unavailability> eldest) {
            return size() > MAX_STARTS;
        }
    };

    /** Why a start accepts no requests; a leaving one has no time at which it accepts them again. */
    private record Unavailability(boolean leaving, long untilNanos) {}

    /**
     * Creates an instance for which all upstreams outside drained data centres are available.
     *
     * @param random supplies numbers from 0 to 1 for the jitter of retry delays
     */
    public UpstreamAvailability(TimeSource time, DoubleSupplier random, DrainedDataCentres drained) {
        this.time = time;
        this.random = random;
        this.drained = drained;
    }

    /** Records that an upstream is leaving. */
    public synchronized void onLeaving(Upstream upstream) {
        Unavailability previous = unavailableStarts.put(UpstreamStart.of(upstream), new Unavailability(true, 0));
        if (previous == null || !previous.leaving()) {
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, upstream.id())
                    .log("upstream is leaving, no further requests are sent to it");
        }
    }

    /** Records that an upstream rejected a request and requested a pause that begins now. */
    public synchronized void onPauseRequested(Upstream upstream, Duration pause) {
        Unavailability previous = unavailableStarts.get(UpstreamStart.of(upstream));
        if ((previous != null && previous.leaving()) || pause.isNegative() || pause.isZero()) {
            return;
        }
        Duration bounded = pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
        long until = time.monotonicNanos() + bounded.toNanos();
        if (previous == null || until - previous.untilNanos() > 0) {
            unavailableStarts.put(UpstreamStart.of(upstream), new Unavailability(false, until));
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, upstream.id())
                    .log("upstream rejected a request, no requests are sent to it for %d ms", bounded.toMillis());
        }
    }

    /** Returns whether requests may be sent to an upstream. */
    public synchronized boolean isAvailable(Upstream upstream) {
        return !drained.covers(upstream) && isExpired(unavailableStarts.get(UpstreamStart.of(upstream)));
    }

    /** Returns the given upstreams that accept requests. */
    public List<Upstream> filterAvailable(List<Upstream> upstreams) {
        return upstreams.stream().filter(this::isAvailable).toList();
    }

    /**
     * Returns the time until the first of the given upstreams accepts requests again, with jitter; empty when none of
     * them is in a requested pause.
     */
    public synchronized Optional<Duration> retryAfter(List<Upstream> upstreams) {
        long now = time.monotonicNanos();
        return upstreams.stream()
                .filter(u -> !drained.covers(u))
                .map(u -> unavailableStarts.get(UpstreamStart.of(u)))
                .filter(r -> r != null && !r.leaving() && r.untilNanos() - now > 0)
                .map(r -> r.untilNanos() - now)
                .min(Long::compare)
                .map(wait -> Duration.ofNanos((long) (wait * (1 + JITTER_SHARE * random.getAsDouble()))));
    }

    private boolean isExpired(@Nullable Unavailability unavailability) {
        return unavailability == null
                || (!unavailability.leaving() && unavailability.untilNanos() - time.monotonicNanos() <= 0);
    }
}
