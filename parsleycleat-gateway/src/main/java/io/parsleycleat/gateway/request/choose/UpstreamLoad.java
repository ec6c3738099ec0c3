package io.parsleycleat.gateway.request.choose;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the load and health of one upstream, from this entry's requests and the responses to them.
 *
 * <p>After a failure, the upstream is in backoff for a time that doubles with each consecutive failure up to a maximum.
 *
 * <p>Created by {@link UpstreamLoads} for each start of an upstream; guarded by its own lock.
 */
public final class UpstreamLoad {
    private static final Duration FIRST_PAUSE = Duration.ofMillis(300);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(3);
    /** Weight of a new observation in the exponential moving averages. */
    private static final double WEIGHT = 0.2;
    /** Share of error responses above which other upstreams are preferred. */
    private static final double MAX_ERROR_SHARE = 0.3;
    /** Half-life of the error rate, so that an upstream that gets no requests is tried again. */
    private static final Duration ERROR_HALF_LIFE = Duration.ofSeconds(3);

    private final TimeSource time;
    private int open;
    private int reportedElsewhere;
    private double latencyMillis;
    private double errorShare;
    private long errorShareNanos;
    private int failuresInRow;
    private long pausedUntilNanos;
    private boolean paused;
    private long heardNanos;

    /** Creates the load of an upstream without requests so far. */
    public UpstreamLoad(TimeSource time) {
        this.time = time;
        this.heardNanos = time.monotonicNanos();
        this.errorShareNanos = heardNanos;
    }

    /** Records that bytes arrived from the upstream on any connection. */
    public synchronized void onBytesReceived() {
        heardNanos = time.monotonicNanos();
    }

    /** Returns the time since bytes last arrived from the upstream on any connection. */
    public synchronized Duration timeSinceLastBytes() {
        return Duration.ofNanos(time.monotonicNanos() - heardNanos);
    }

    /** Counts a request as open when it is sent. */
    public synchronized void onRequestSent() {
        open++;
    }

    /** Counts a request as no longer open, whatever its result. */
    public synchronized void onRequestEnded() {
        open = Math.max(0, open - 1);
    }

    /** Records the load that a response reported, which includes this entry's own requests. */
    public synchronized void onLoadReported(int running, int waiting) {
        reportedElsewhere = Math.max(0, running + waiting - open);
    }

    /** Records a successful response and the time to its head. */
    public synchronized void onSuccess(Duration latency) {
        failuresInRow = 0;
        paused = false;
        noteOutcome(0);
        latencyMillis += WEIGHT * (latency.toMillis() - latencyMillis);
    }

    /** Records an error response. */
    public synchronized void onErrorResponse() {
        noteOutcome(1);
    }

    /** Records that there was no complete response or no connection, and begins a backoff. */
    public synchronized void onFailure() {
        failuresInRow++;
        onErrorResponse();
        long millis = Math.min(MAX_PAUSE.toMillis(), FIRST_PAUSE.toMillis() << Math.min(8, failuresInRow - 1));
        pausedUntilNanos = time.monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        paused = true;
    }

    /** Returns whether the upstream is in backoff. */
    public synchronized boolean isPaused() {
        return paused && time.monotonicNanos() - pausedUntilNanos < 0;
    }

    /** Returns whether many of the last responses were errors or missing. */
    public synchronized boolean hasHighErrorRate() {
        return errorShareNow() > MAX_ERROR_SHARE;
    }

    /** Returns the number of requests at the upstream: those of this entry and those last reported for others. */
    public synchronized int requests() {
        return open + reportedElsewhere;
    }

    /** Returns the moving average of the time to the head of a response, in milliseconds. */
    public synchronized double latencyMillis() {
        return latencyMillis;
    }

    private void noteOutcome(double failed) {
        double before = errorShareNow();
        errorShare = before + WEIGHT * (failed - before);
        errorShareNanos = time.monotonicNanos();
    }

    private double errorShareNow() {
        double halvings = (double) (time.monotonicNanos() - errorShareNanos) / ERROR_HALF_LIFE.toNanos();
        return errorShare * Math.pow(2, -halvings);
    }
}
