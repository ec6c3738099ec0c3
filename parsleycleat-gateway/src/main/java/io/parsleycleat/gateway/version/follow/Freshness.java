package io.parsleycleat.gateway.version.follow;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * How old the newest confirmed knowledge is, counted from when the question was sent.
 *
 * <p>The steady clock stands still while a VM is suspended and the time of day may jump, so the age is the larger one
 * of both clocks.
 *
 * <p>One a followed log; safe to share between threads.
 */
public final class Freshness {
    private final TimeSource time;
    private boolean confirmed;
    private long monotonicNanos;
    private long wallMillis;

    /** A point in time on both clocks. */
    public record Moment(long monotonicNanos, long wallMillis) {
        /** Returns the moment that was so much earlier. */
        public Moment minus(Duration age) {
            return new Moment(monotonicNanos - age.toNanos(), wallMillis - age.toMillis());
        }
    }

    /** Creates knowledge that was never confirmed. */
    public Freshness(TimeSource time) {
        this.time = time;
    }

    /** Returns the present moment. */
    public Moment now() {
        return new Moment(time.monotonicNanos(), time.wallMillis());
    }

    /** Notes an answer that tells the state of the given moment; an older one than before changes nothing. */
    public synchronized void confirm(Moment moment) {
        if (confirmed && moment.monotonicNanos() - monotonicNanos < 0) {
            return;
        }
        confirmed = true;
        monotonicNanos = moment.monotonicNanos();
        wallMillis = moment.wallMillis();
    }

    /** Returns the age, or the longest duration when nothing was ever confirmed. */
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
