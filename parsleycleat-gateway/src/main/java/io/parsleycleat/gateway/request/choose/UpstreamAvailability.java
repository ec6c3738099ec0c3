package io.parsleycleat.gateway.request.choose;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Which upstreams have told this entry to send no requests: for good, as they leave, or until a time has passed.
 *
 * <p>It holds for one start of an upstream, whatever its description says then, and also after the description is gone.
 *
 * <p>One an entry; guarded by its own lock.
 */
public final class UpstreamAvailability {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The longest pause that is kept; a larger figure is taken to be an error. */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(10);
    /** Starts that are remembered; the oldest one is forgotten first. */
    private static final int MAX_STARTS = 10_000;
    /** Part of the wait over which callers that are told to come back are spread. */
    private static final double SPREAD_PART = 0.5;

    private final TimeSource time;
    private final DoubleSupplier random;
    private final Map<Start, Refusing> refusing = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Start, Refusing> eldest) {
            return size() > MAX_STARTS;
        }
    };

    /** One start of an upstream. */
    private record Start(String id, long born) {
        static Start of(Upstream upstream) {
            return new Start(upstream.id(), upstream.startMillis());
        }
    }

    /** What a start has told; one that leaves has no time from which it takes requests again. */
    private record Refusing(boolean leaving, long untilNanos) {}

    /**
     * Creates a view in which all upstreams take requests.
     *
     * @param random numbers from 0 to 1 that spread the return of callers
     */
    public UpstreamAvailability(TimeSource time, DoubleSupplier random) {
        this.time = time;
        this.random = random;
    }

    /** Notes that an upstream leaves. */
    public synchronized void onLeaving(Upstream upstream) {
        Refusing before = refusing.put(Start.of(upstream), new Refusing(true, 0));
        if (before == null || !before.leaving()) {
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, upstream.id())
                    .log("upstream says that it leaves, nothing more is sent to it");
        }
    }

    /** Notes that an upstream turned a request away and wants none for a while, counted from now. */
    public synchronized void onPauseRequested(Upstream upstream, Duration pause) {
        Refusing before = refusing.get(Start.of(upstream));
        if ((before != null && before.leaving()) || pause.isNegative() || pause.isZero()) {
            return;
        }
        Duration kept = pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
        long until = time.monotonicNanos() + kept.toNanos();
        if (before == null || until - before.untilNanos() > 0) {
            refusing.put(Start.of(upstream), new Refusing(false, until));
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, upstream.id())
                    .log("upstream turned a request away, nothing is sent to it for %d ms", kept.toMillis());
        }
    }

    /** Returns whether requests may be sent to an upstream. */
    public synchronized boolean isAvailable(Upstream upstream) {
        return isOver(refusing.get(Start.of(upstream)));
    }

    /** Returns those of some upstreams that requests may be sent to. */
    public List<Upstream> filterAvailable(List<Upstream> upstreams) {
        return upstreams.stream().filter(this::isAvailable).toList();
    }

    /**
     * Returns when a caller should come back for the first of some upstreams that is waited for, a little later for
     * some callers than for others; nothing when none of them has named a time.
     */
    public synchronized Optional<Duration> retryAfter(List<Upstream> upstreams) {
        long now = time.monotonicNanos();
        return upstreams.stream()
                .map(u -> refusing.get(Start.of(u)))
                .filter(r -> r != null && !r.leaving() && r.untilNanos() - now > 0)
                .map(r -> r.untilNanos() - now)
                .min(Long::compare)
                .map(wait -> Duration.ofNanos((long) (wait * (1 + SPREAD_PART * random.getAsDouble()))));
    }

    private boolean isOver(@Nullable Refusing told) {
        return told == null || (!told.leaving() && told.untilNanos() - time.monotonicNanos() <= 0);
    }
}
