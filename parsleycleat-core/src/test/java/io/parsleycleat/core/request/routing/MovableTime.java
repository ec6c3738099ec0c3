package io.parsleycleat.core.request.routing;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Time that only tests move. */
public final class MovableTime implements TimeSource {
    private final AtomicLong nanos = new AtomicLong(TimeUnit.HOURS.toNanos(1));

    public void advance(Duration by) {
        nanos.addAndGet(by.toNanos());
    }

    @Override
    public long wallMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos.get());
    }

    @Override
    public long monotonicNanos() {
        return nanos.get();
    }
}
