package io.parsleycleat.standin;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A time source that a test moves. */
public final class ManualTime implements TimeSource {
    private final AtomicLong nanos = new AtomicLong(1_000_000_000_000L);

    public void advance(Duration by) {
        nanos.addAndGet(by.toNanos());
    }

    @Override
    public long wallMillis() {
        return nanos.get() / 1_000_000;
    }

    @Override
    public long monotonicNanos() {
        return nanos.get();
    }
}
