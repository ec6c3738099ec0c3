package io.parsleycleat.gateway.request.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests one upstream may be sent while it names a limit for the requests of all entries together.
 *
 * <p>All requests are numbered as they start. A lower limit applies as soon as an answer names it. A higher one or none
 * applies only if the request that was answered started after the last answer that named the present limit, because
 * answers can overtake each other.
 *
 * <p>Created by the process through which all requests to the upstream start, and guarded by its lock. Times are
 * passed in as monotonic nanoseconds.
 */
public final class RequestRate {
    /** The rate while an upstream takes nothing or nearly nothing, since only its answers tell when the limit ends. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.1;
    /** Time whose requests may start at once after a pause, beside the first one. */
    private static final Duration BURST_TIME = Duration.ofMillis(250);
    /** The longest time after which a refused request is told to come back in turn. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

    /** Multiples of this number, without their whole part, are spread evenly however many there are. */
    private static final double GOLDEN_RATIO = 0.618_033_988_75;

    private static final int MAX_PRIORITY = 9;

    private static final double ROUNDING_TOLERANCE = 1e-6;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final double share;
    private final NavigableMap<Integer, Long> lastTurns = new TreeMap<>();
    private @Nullable RequestLimit limit;
    private @Nullable TokenBucket bucket;
    private boolean known;
    private long lastStart;
    private long lastStartAtNaming;
    private long lateReturns;

    /**
     * Creates a rate without a limit.
     *
     * @param share the share of the named limit that may start here
     * @param firstStart the number of the first start; numbers of an earlier process should be lower
     */
    public RequestRate(double share, long firstStart) {
        this.share = share;
        this.lastStart = firstStart - 1;
    }

    // What the upstream says

    /**
     * Records the limit that an answer names.
     *
     * @param named null if it names none
     * @param start the number of the request that was answered; 0 if it did not start here
     * @return whether the limit has changed
     */
    public boolean onAnswer(@Nullable RequestLimit named, long start, long nowNanos) {
        if (named != null && !named.isReadable()) {
            return false;
        }
        boolean isLater = start > lastStartAtNaming && start <= lastStart;
        RequestLimit before = limit;
        if (before != null && isHigher(named, before) && !isLater) {
            return false;
        }
        known = true;
        if (named != null) {
            lastStartAtNaming = lastStart;
        }
        if (named == null ? before == null : named.equals(before)) {
            return false;
        }
        limit = named;
        bucket = named == null ? null : changedBucket(named, nowNanos);
        return true;
    }

    /** Applies a limit that the upstream named elsewhere, unless anything was heard of the upstream here. */
    public void adopt(RequestLimit named, long nowNanos) {
        if (!known) {
            onAnswer(named, 0, nowNanos);
        }
    }

    /** Forgets the limit, as after a new start of the upstream. */
    public void reset() {
        limit = null;
        bucket = null;
        known = false;
        lastStartAtNaming = lastStart;
    }

    /** Returns the limit that the upstream names, if any. */
    public Optional<RequestLimit> limit() {
        return Optional.ofNullable(limit);
    }

    private static boolean isHigher(@Nullable RequestLimit named, RequestLimit before) {
        return named == null || named.requestsPerSecond() > before.requestsPerSecond();
    }

    /** A new limit begins without tokens, because the upstream has just got more requests than it takes. */
    private TokenBucket changedBucket(RequestLimit named, long nowNanos) {
        double rate = Math.max(MIN_REQUESTS_PER_SECOND, named.requestsPerSecond()) * share;
        double burst = 1 + rate * BURST_TIME.toNanos() / NANOS_PER_SECOND;
        TokenBucket present = bucket;
        if (present == null) {
            lastTurns.clear();
            return new TokenBucket(rate, burst, 0, nowNanos);
        }
        present.refill(nowNanos, true);
        present.setLimits(rate, burst);
        return present;
    }

    // Starts

    /** Starts a request if the limit allows that now; returns its number, which is positive, or 0. */
    public long tryStart(long nowNanos) {
        TokenBucket present = bucket;
        if (present != null) {
            present.refill(nowNanos, true);
            if (present.storedTokens() + ROUNDING_TOLERANCE < 1) {
                return 0;
            }
            present.take(1);
        }
        return ++lastStart;
    }

    /** Advances to a time without gaining tokens, as while another process may start requests too. */
    public void skipTo(long nowNanos) {
        TokenBucket present = bucket;
        if (present != null) {
            present.refill(nowNanos, false);
        }
    }

    /** Returns the average time between two starts under the limit; zero without a limit. */
    public Duration startInterval() {
        TokenBucket present = bucket;
        return present == null ? Duration.ZERO : Duration.ofNanos((long) (NANOS_PER_SECOND / present.ratePerSecond()));
    }

    /** Returns how long a request waits for the limit behind a number of others; zero without a limit. */
    public Duration waitBehind(long others, long nowNanos) {
        TokenBucket present = bucket;
        if (present == null) {
            return Duration.ZERO;
        }
        present.refill(nowNanos, true);
        double missing = others + 1 - present.storedTokens() - ROUNDING_TOLERANCE;
        return Duration.ofNanos((long) Math.ceil(Math.max(0, missing) / present.ratePerSecond() * NANOS_PER_SECOND));
    }

    /**
     * Returns the requests whose turn comes later than they can wait; those behind them move up.
     *
     * @param ordered the waiting requests in the order in which they start
     * @param waitLeft returns how much longer a request can wait
     */
    public <T> List<T> beyondWait(List<T> ordered, Function<T, Duration> waitLeft, long nowNanos) {
        List<T> beyond = new ArrayList<>();
        for (int i = 0; i < ordered.size(); i++) {
            T request = ordered.get(i);
            Duration wait = waitBehind(i - beyond.size(), nowNanos);
            if (!wait.isZero() && wait.compareTo(waitLeft.apply(request)) > 0) {
                beyond.add(request);
            }
        }
        return beyond;
    }

    /**
     * Returns when a refused request may come back. Requests that are refused one after another get times apart, the
     * more urgent ones first, so that they come back in turn and not all at once; once too many wait for their turn,
     * the further ones are spread.
     *
     * @param others the requests that wait already
     * @param priority 0 is the most urgent
     */
    public Duration retryAfter(long others, int priority, long nowNanos) {
        TokenBucket present = bucket;
        if (present == null) {
            return Duration.ZERO;
        }
        Duration earliest = waitBehind(others, nowNanos);
        int rank = Math.max(0, Math.min(MAX_PRIORITY, priority));
        Duration lastTurn = lastTurns.headMap(rank, true).values().stream()
                .map(nanos -> Duration.ofNanos(nanos - nowNanos))
                .max(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
        Duration turn = lastTurn.compareTo(earliest) < 0 ? earliest : lastTurn.plus(startInterval());
        if (turn.compareTo(MAX_RETRY_AFTER) > 0 && turn.compareTo(earliest) > 0) {
            lateReturns++;
            double spread = (1 + lateReturns * GOLDEN_RATIO % 1) / 2;
            return earliest.plusNanos((long) (spread * MAX_RETRY_AFTER.toNanos()));
        }
        lastTurns.put(rank, nowNanos + turn.toNanos());
        return turn;
    }
}
