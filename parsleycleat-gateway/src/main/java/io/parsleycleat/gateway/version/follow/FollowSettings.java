package io.parsleycleat.gateway.version.follow;

import java.time.Duration;

/**
 * Settings for reading a log continuously.
 *
 * @param maxWait how long a read waits for the first new record
 * @param readPause the pause after a read, so that several records are read together
 * @param timeout how long an answer may take beyond the wait
 * @param retryDelay the time from the start of a failed read to the next one, if the failure took less
 * @param outageGrace how long keys that were deleted after an outage may take to be written again
 */
public record FollowSettings(
        Duration maxWait, Duration readPause, Duration timeout, Duration retryDelay, Duration outageGrace) {
    /** Settings for a log that changes rarely and whose changes must be applied at once. */
    public static final FollowSettings LOW_LATENCY = new FollowSettings(
            Duration.ofMillis(1_000),
            Duration.ofMillis(100),
            Duration.ofMillis(400),
            Duration.ofMillis(250),
            Duration.ofMillis(2_200));

    /**
     * Returns the longest time from a change to its use here if the read that waits for it gets no answer, and the next
     * one does.
     */
    public Duration maxDelayAfterLostAnswer() {
        return maxWait.plus(timeout);
    }

    /**
     * Returns the maximum age of the newest answer in normal operation: it was requested one wait before it arrived,
     * and the next answer takes as long.
     */
    public Duration maxNormalAge() {
        return maxWait.multipliedBy(2).plus(readPause);
    }

    /** Returns a copy with another wait for the first new record. */
    public FollowSettings withMaxWait(Duration newWait) {
        return new FollowSettings(newWait, readPause, timeout, retryDelay, outageGrace);
    }

    /** Returns a copy with another pause between reads. */
    public FollowSettings withReadPause(Duration newMinGap) {
        return new FollowSettings(maxWait, newMinGap, timeout, retryDelay, outageGrace);
    }
}
