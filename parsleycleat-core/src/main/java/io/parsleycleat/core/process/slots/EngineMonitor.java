package io.parsleycleat.core.process.slots;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.upstream.EngineState;
import io.parsleycleat.core.connection.upstream.ModelEngine;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Reads a model engine's reports, one at a time, and hands them on.
 *
 * <p>Created once by the side; safe to share between threads.
 */
public final class EngineMonitor {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_MISSED_REPORTS = 2;

    private final ModelEngine engine;
    private final Consumer<EngineState> observer;
    private final AtomicBoolean reading = new AtomicBoolean();
    private volatile @Nullable EngineState last;
    private volatile int missed = MAX_MISSED_REPORTS;

    /** Creates a monitor that has read nothing yet. */
    public EngineMonitor(ModelEngine engine, Consumer<EngineState> observer) {
        this.engine = engine;
        this.observer = observer;
    }

    /** Reads a report now and then at every interval. */
    public void start(ScheduledExecutorService scheduler, Duration interval) {
        scheduler.scheduleWithFixedDelay(this::read, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Reads one report, unless one is being read. */
    public void read() {
        if (!reading.compareAndSet(false, true)) {
            return;
        }
        engine.state().whenComplete((state, failure) -> {
            try {
                accept(state, failure);
            } finally {
                reading.set(false);
            }
        });
    }

    /** Returns whether the engine answers. */
    public boolean isReachable() {
        return missed < MAX_MISSED_REPORTS;
    }

    /** Returns the engine's incarnation; empty before the first report. */
    public String incarnation() {
        EngineState state = last;
        return state == null ? "" : state.incarnation();
    }

    private void accept(@Nullable EngineState state, @Nullable Throwable failure) {
        if (failure != null || state == null) {
            missed = Math.min(MAX_MISSED_REPORTS, missed + 1);
            logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log("the engine's report cannot be read: %s", failure);
            return;
        }
        missed = 0;
        last = state;
        observer.accept(state);
    }
}
