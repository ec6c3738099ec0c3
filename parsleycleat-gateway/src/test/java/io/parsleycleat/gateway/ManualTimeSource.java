package io.parsleycleat.gateway;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;

/** A time source that a test advances. Used by one thread. */
public final class ManualTimeSource implements TimeSource {
    private long steadyTimeNanos = 1_000_000_000L;
    private long wallMillis = 1_700_000_000_000L;

    /** Advances the monotonic and the wall clock. */
    public void advance(Duration time) {
        steadyTimeNanos += time.toNanos();
        wallMillis += time.toMillis();
    }

    /** Advances the monotonic and the wall clock. */
    public void advanceMillis(long millis) {
        advance(Duration.ofMillis(millis));
    }

    /** Shifts only the wall clock, forward as after the suspension of a VM, or backward. */
    public void shiftWallMillis(long millis) {
        wallMillis += millis;
    }

    @Override
    public long wallMillis() {
        return wallMillis;
    }

    @Override
    public long monotonicNanos() {
        return steadyTimeNanos;
    }
}
