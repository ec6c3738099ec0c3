package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

/**
 * The requests of this entry that were read as a whole and have no final answer yet.
 *
 * <p>One per {@link RequestForwarder}; safe to share between threads.
 */
final class OpenRequests {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Bounds the log lines of one stop. */
    private static final int MAX_LOGGED = 200;

    private final ForwardingContext context;
    private final BiConsumer<OpenRequest, Refusal> onRefused;
    private final Set<OpenRequest> open = ConcurrentHashMap.newKeySet();

    /**
     * Creates an instance without requests.
     *
     * @param onRefused records each request that ends before anything works on it
     */
    OpenRequests(ForwardingContext context, BiConsumer<OpenRequest, Refusal> onRefused) {
        this.context = context;
        this.onRefused = onRefused;
    }

    /** Adds a request that was read as a whole. */
    OpenRequest add(CallerExchange exchange) {
        OpenRequest request = new OpenRequest(exchange, context, this);
        open.add(request);
        return request;
    }

    int count() {
        return open.size();
    }

    void onRefused(OpenRequest request, Refusal refusal) {
        onRefused.accept(request, refusal);
    }

    void remove(OpenRequest request) {
        open.remove(request);
    }

    /** Logs what each open request waits for. */
    void log(String reason) {
        open.stream().limit(MAX_LOGGED).forEach(r -> logger.atWarning()
                .with(LogKeys.REQUEST, r.id())
                .with(LogKeys.UPSTREAM, r.upstreamId())
                .log("%s: %s", reason, r.describe()));
    }
}
