package io.parsleycleat.gateway.version.follow;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Measures the age of the newest confirmed state, counted from when its request was sent.
 *
 * <p>The monotonic clock stops while a VM is suspended and the time of day may jump, so the age is the larger one of
 * both clocks.
 *
 * <p>One per followed log; safe to share between threads.
 */
public final class Freshness {
    private final TimeSource time;
    private boolean confirmed;
    private long monotonicNanos;
    private long wallMillis;

    /** A point in time on both clocks. */
    public record Moment(long monotonicNanos, long wallMillis) {
        /** Returns the moment that lies the given duration earlier. */
        public Moment minus(Duration age) {
            return new Moment(monotonicNanos - age.toNanos(), wallMillis - age.toMillis());
        }
    }

    /** Creates an instance without a confirmed state. */
    public Freshness(TimeSource time) {
        this.time = time;
    }

    /** Returns the current moment. */
    public Moment now() {
        return new Moment(time.monotonicNanos(), time.wallMillis());
    }

    /** Records an answer with the state of the given moment; one that is older than the confirmed state is ignored. */
    public synchronized void confirm(Moment moment) {
        if (confirmed && moment.monotonicNanos() - monotonicNanos < 0) {
            return;
        }
        confirmed = true;
        monotonicNanos = moment.monotonicNanos();
        wallMillis = moment.wallMillis();
    }

    /** Returns the age, or the longest duration if nothing has been confirmed. */
    public synchronized Duration age() {
        if (!confirmed) {
            return Duration.ofSeconds(Long.MAX_VALUE);
        }
        long monotonicAgeMillis = TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - monotonicNanos);
        long wallAgeMillis = time.wallMillis() - wallMillis;
        return Duration.ofMillis(Math.max(0, Math.max(monotonicAgeMillis, wallAgeMillis)));
    }

    /** Returns the age in milliseconds, at most {@link Integer#MAX_VALUE}. */
    public int ageMillis() {
        Duration age = age();
        return age.toSeconds() > Integer.MAX_VALUE / 1_000 ? Integer.MAX_VALUE : (int) age.toMillis();
    }

    /** Returns whether the age is below a bound. */
    public boolean isYoungerThan(Duration bound) {
        return age().compareTo(bound) < 0;
    }
}
