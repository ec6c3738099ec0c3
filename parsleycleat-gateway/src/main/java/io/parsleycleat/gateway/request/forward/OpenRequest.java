package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One request that was read as a whole and has no final answer yet, with what it is waiting for.
 *
 * <p>Created by {@link OpenRequests} for each request; safe to share between threads.
 */
final class OpenRequest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final String id;
    private final TimeSource time;
    private final Runnable onFailure;
    private final Consumer<OpenRequest> onEnd;
    private volatile Progress progress;

    /** What a request is waiting for. */
    enum Stage {
        BUDGET("waits for its budget"),
        UPSTREAM("waits for an upstream"),
        ANSWER("waits for the answer"),
        REST_OF_ANSWER("waits for the rest of the answer");

        private final String text;

        Stage(String text) {
            this.text = text;
        }
    }

    private record Progress(Stage stage, String upstreamId, long sinceNanos) {}

    /**
     * Creates a request that waits for its budget.
     *
     * @param onFailure called when one of its actions fails unexpectedly
     * @param onEnd called at the end
     */
    OpenRequest(String id, TimeSource time, Runnable onFailure, Consumer<OpenRequest> onEnd) {
        this.id = id;
        this.time = time;
        this.onFailure = onFailure;
        this.onEnd = onEnd;
        this.progress = new Progress(Stage.BUDGET, "", time.monotonicNanos());
    }

    String id() {
        return id;
    }

    /** Records what the request waits for from now on, and at which upstream; empty if at none. */
    void enter(Stage stage, String upstreamId) {
        progress = new Progress(stage, upstreamId, time.monotonicNanos());
    }

    /** Returns the upstream that works on the request; empty if none does. */
    String upstreamId() {
        return progress.upstreamId();
    }

    /** Returns what the request waits for and for how long, for logs. */
    String describe() {
        Progress current = progress;
        long millis = TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - current.sinceNanos());
        return current.stage().text + " for " + millis + " ms";
    }

    /** Returns an action that logs and counts an unexpected failure of the given one. */
    Runnable guard(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException | Error e) {
                logger.atSevere()
                        .withCause(e)
                        .with(LogKeys.REQUEST, id)
                        .log("unexpected failure, request %s", describe());
                onFailure.run();
                throw e;
            }
        };
    }

    /** Removes the request from the open ones. */
    void end() {
        onEnd.accept(this);
    }
}
