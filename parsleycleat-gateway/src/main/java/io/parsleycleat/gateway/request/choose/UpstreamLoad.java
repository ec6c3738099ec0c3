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
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(300);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(3);
    /** Weight of a new observation in the exponential moving averages. */
    private static final double SMOOTHING_FACTOR = 0.2;
    /** Share of error responses above which other upstreams are preferred. */
    private static final double MAX_ERROR_RATE = 0.3;
    /** Half-life of the error rate, so that an upstream that gets no requests is tried again. */
    private static final Duration ERROR_HALF_LIFE = Duration.ofSeconds(3);

    private final TimeSource time;
    private int openRequests;
    private int otherRequests;
    private double latencyMillis;
    private double errorRate;
    private long errorRateUpdatedNanos;
    private int consecutiveFailures;
    private long backoffUntilNanos;
    private boolean inBackoff;
    private long lastBytesNanos;

    /** Creates the load of an upstream without requests so far. */
    public UpstreamLoad(TimeSource time) {
        this.time = time;
        this.lastBytesNanos = time.monotonicNanos();
        this.errorRateUpdatedNanos = lastBytesNanos;
    }

    /** Records that bytes arrived from the upstream on any connection. */
    public synchronized void onBytesReceived() {
        lastBytesNanos = time.monotonicNanos();
    }

    /** Returns the time since bytes last arrived from the upstream on any connection. */
    public synchronized Duration timeSinceLastBytes() {
        return Duration.ofNanos(time.monotonicNanos() - lastBytesNanos);
    }

    /** Counts a request as open when it is sent. */
    public synchronized void onRequestSent() {
        openRequests++;
    }

    /** Counts a request as no longer open, whatever its result. */
    public synchronized void onRequestEnded() {
        openRequests = Math.max(0, openRequests - 1);
    }

    /** Records the load that a response reported, which includes this entry's own requests. */
    public synchronized void onLoadReported(int running, int waiting) {
        otherRequests = Math.max(0, running + waiting - openRequests);
    }

    /** Records a successful response and the time to its head. */
    public synchronized void onSuccess(Duration latency) {
        consecutiveFailures = 0;
        inBackoff = false;
        recordOutcome(0);
        latencyMillis += SMOOTHING_FACTOR * (latency.toMillis() - latencyMillis);
    }

    /** Records an error response. */
    public synchronized void onErrorResponse() {
        recordOutcome(1);
    }

    /** Records that there was no complete response or no connection, and begins a backoff. */
    public synchronized void onFailure() {
        consecutiveFailures++;
        onErrorResponse();
        long millis =
                Math.min(MAX_BACKOFF.toMillis(), INITIAL_BACKOFF.toMillis() << Math.min(8, consecutiveFailures - 1));
        backoffUntilNanos = time.monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        inBackoff = true;
    }

    /** Returns whether the upstream is in backoff. */
    public synchronized boolean isInBackoff() {
        return inBackoff && time.monotonicNanos() - backoffUntilNanos < 0;
    }

    /** Returns whether many of the last responses were errors or missing. */
    public synchronized boolean hasHighErrorRate() {
        return currentErrorRate() > MAX_ERROR_RATE;
    }

    /** Returns the number of requests at the upstream: those of this entry and those last reported for others. */
    public synchronized int requestCount() {
        return openRequests + otherRequests;
    }

    /** Returns the moving average of the time to the head of a response, in milliseconds. */
    public synchronized double latencyMillis() {
        return latencyMillis;
    }

    private void recordOutcome(double failed) {
        double previousRate = currentErrorRate();
        errorRate = previousRate + SMOOTHING_FACTOR * (failed - previousRate);
        errorRateUpdatedNanos = time.monotonicNanos();
    }

    private double currentErrorRate() {
        double halvings = (double) (time.monotonicNanos() - errorRateUpdatedNanos) / ERROR_HALF_LIFE.toNanos();
        return errorRate * Math.pow(2, -halvings);
    }
}
