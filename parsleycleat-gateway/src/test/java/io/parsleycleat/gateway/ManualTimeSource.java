package io.parsleycleat.gateway;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;

/** Clocks that a test moves. Used by one thread. */
public final class ManualTimeSource implements TimeSource {
    private long steadyNanos = 1_000_000_000L;
    private long wallMillis = 1_700_000_000_000L;

    /** Lets both clocks go on. */
    public void advance(Duration time) {
        steadyNanos += time.toNanos();
        wallMillis += time.toMillis();
    }

    /** Lets both clocks go on. */
    public void advanceMillis(long millis) {
        advance(Duration.ofMillis(millis));
    }

    /** Lets only the time of day go on, as a suspended VM sees it, or back. */
    public void shiftWallMillis(long millis) {
        wallMillis += millis;
    }

    @Override
    public long wallMillis() {
        return wallMillis;
    }

    @Override
    public long monotonicNanos() {
        return steadyNanos;
    }
}
