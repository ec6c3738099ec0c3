package io.parsleycleat.gateway.request.choose;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * What this entry knows of one upstream's load and health, from its own requests and the answers to them.
 *
 * <p>An upstream that fails is left alone for a while that grows with each failure in a row, then tried again.
 *
 * <p>Created for each start of an upstream; guarded by its own lock.
 */
public final class UpstreamLoad {
    private static final Duration FIRST_PAUSE = Duration.ofMillis(300);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(3);
    /** Part that a new observation has in the mean. */
    private static final double WEIGHT = 0.2;
    /** Share of failed answers above which an upstream is used only when there is no better one. */
    private static final double MAX_ERROR_SHARE = 0.3;
    /** Time in which the weight of old failures halves, so that an upstream that is not used is tried again. */
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

    /** Creates the load of an upstream that was not used yet. */
    public UpstreamLoad(TimeSource time) {
        this.time = time;
        this.heardNanos = time.monotonicNanos();
        this.errorShareNanos = heardNanos;
    }

    /** Notes that bytes arrived from the upstream, on any connection. */
    public synchronized void onBytesReceived() {
        heardNanos = time.monotonicNanos();
    }

    /** Returns for how long nothing has arrived from the upstream, on any connection. */
    public synchronized Duration timeSinceLastBytes() {
        return Duration.ofNanos(time.monotonicNanos() - heardNanos);
    }

    /** Counts a request that is sent. */
    public synchronized void onRequestSent() {
        open++;
    }

    /** Counts a request out, however it ended. */
    public synchronized void onRequestEnded() {
        open = Math.max(0, open - 1);
    }

    /** Takes the load that an answer reported, this entry's own requests included. */
    public synchronized void onLoadReported(int running, int waiting) {
        reportedElsewhere = Math.max(0, running + waiting - open);
    }

    /** Notes a useful answer and the time to its head. */
    public synchronized void onSuccess(Duration latency) {
        failuresInRow = 0;
        paused = false;
        noteOutcome(0);
        latencyMillis += WEIGHT * (latency.toMillis() - latencyMillis);
    }

    /** Notes an answer that says that the upstream failed. */
    public synchronized void onErrorResponse() {
        noteOutcome(1);
    }

    /** Notes that there was no answer, or no connection. */
    public synchronized void onFailure() {
        failuresInRow++;
        onErrorResponse();
        long millis = Math.min(MAX_PAUSE.toMillis(), FIRST_PAUSE.toMillis() << Math.min(8, failuresInRow - 1));
        pausedUntilNanos = time.monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        paused = true;
    }

    /** Returns whether the upstream is left alone for now. */
    public synchronized boolean isPaused() {
        return paused && time.monotonicNanos() - pausedUntilNanos < 0;
    }

    /** Returns whether many of the last answers were failures. */
    public synchronized boolean hasHighErrorRate() {
        return errorShareNow() > MAX_ERROR_SHARE;
    }

    /** Returns how many requests the upstream has, as far as this entry knows. */
    public synchronized int requests() {
        return open + reportedElsewhere;
    }

    /** Returns the mean time to the head of an answer, in milliseconds. */
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
