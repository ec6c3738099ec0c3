package io.parsleycleat.core.request.execute;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import java.util.function.Consumer;

/**
 * Runs the steps of one run so that none of them can fail unnoticed.
 *
 * <p>Created by {@link EngineExecution} and {@link ServiceExecution} for each run; safe to share between threads.
 */
final class StepGuard {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final String requestId;
    private final String upstreamId;
    private final Consumer<Throwable> onFailure;

    /**
     * Creates the guard of a run.
     *
     * @param onFailure ends the run
     */
    StepGuard(String requestId, String upstreamId, Consumer<Throwable> onFailure) {
        this.requestId = requestId;
        this.upstreamId = upstreamId;
        this.onFailure = onFailure;
    }

    /** Runs a step; an unexpected failure ends the run, since nothing else would. */
    void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            onFailure.accept(e);
        }
    }

    /** Runs a step of the end that must not keep the others from being done. */
    void runQuietly(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            log(e);
        }
    }

    void log(Throwable failure) {
        logger.atSevere()
                .withCause(failure)
                .with(LogKeys.REQUEST, requestId)
                .with(LogKeys.UPSTREAM, upstreamId)
                .log("unexpected failure of a run");
    }
}
