package io.parsleycleat.gateway.process.entry;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Measures how much later than planned a periodic task of an event loop runs, since everything else on the loop is as
 * late then: what has arrived is read later, and timers that are due meanwhile run together.
 *
 * <p>Created once per entry; used on its event loop.
 */
final class EventLoopDelay {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The shortest delay that is logged. */
    private static final Duration MIN_LOGGED = Duration.ofMillis(200);

    private final Duration interval;
    private final TimeSource time;
    private final Histogram delayMillis;
    private long lastRunNanos;

    /**
     * Creates a measurement.
     *
     * @param interval the planned time between two runs
     */
    EventLoopDelay(Duration interval, TimeSource time, MetricRegistry metrics) {
        this.interval = interval;
        this.time = time;
        this.delayMillis = metrics.histogram("loop.delay.millis");
        this.lastRunNanos = time.monotonicNanos();
    }

    /** Records a run of the task. */
    void onRun() {
        long now = time.monotonicNanos();
        long millis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(now - lastRunNanos - interval.toNanos()));
        lastRunNanos = now;
        delayMillis.update(millis);
        if (millis >= MIN_LOGGED.toMillis()) {
            logger.atWarning().log("the event loop was held up for %d ms", millis);
        }
    }
}
