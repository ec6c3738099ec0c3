package io.parsleycleat.gateway.version.follow;

import java.time.Duration;

/**
 * How often a log is read.
 *
 * @param maxWait how long a read waits for the first new record
 * @param readPause the pause after a read, so that records gather
 * @param timeout how long an answer may take beyond the wait
 * @param retryDelay the pause after a failure
 * @param outageGrace how long keys that were dropped after an outage have to return
 */
public record FollowSettings(
        Duration maxWait, Duration readPause, Duration timeout, Duration retryDelay, Duration outageGrace) {
    /** Settings for a log that changes rarely and whose changes matter at once. */
    public static final FollowSettings LOW_LATENCY = new FollowSettings(
            Duration.ofMillis(1_000),
            Duration.ofMillis(100),
            Duration.ofMillis(800),
            Duration.ofMillis(250),
            Duration.ofMillis(2_200));

    /** Returns how old the newest answer becomes at most: it was asked a wait ago, and the next one takes as long. */
    public Duration maxNormalAge() {
        return maxWait.multipliedBy(2).plus(readPause);
    }

    /** Returns a copy with another wait. */
    public FollowSettings withMaxWait(Duration newWait) {
        return new FollowSettings(newWait, readPause, timeout, retryDelay, outageGrace);
    }

    /** Returns a copy with another pause between reads. */
    public FollowSettings withReadPause(Duration newMinGap) {
        return new FollowSettings(maxWait, newMinGap, timeout, retryDelay, outageGrace);
    }
}
