package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The requests of this entry that were read as a whole and have no final answer yet.
 *
 * <p>One per {@link RequestForwarder}; safe to share between threads.
 */
final class OpenRequests {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Bounds the log lines of one stop. */
    private static final int MAX_LOGGED = 200;

    private final TimeSource time;
    private final ForwardMetrics metrics;
    private final Set<OpenRequest> open = ConcurrentHashMap.newKeySet();

    OpenRequests(TimeSource time, ForwardMetrics metrics) {
        this.time = time;
        this.metrics = metrics;
    }

    /** Adds a request that was read as a whole. */
    OpenRequest add(String id) {
        OpenRequest request = new OpenRequest(id, time, metrics::onUnexpectedFailure, open::remove);
        open.add(request);
        return request;
    }

    int count() {
        return open.size();
    }

    /** Logs what each open request waits for. */
    void log(String reason) {
        open.stream().limit(MAX_LOGGED).forEach(r -> logger.atWarning()
                .with(LogKeys.REQUEST, r.id())
                .with(LogKeys.UPSTREAM, r.upstreamId())
                .log("%s: %s", reason, r.describe()));
    }
}
