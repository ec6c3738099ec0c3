package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
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
    /** How often a stopping entry looks for waiting requests whose turn comes too late. */
    private static final Duration WAITING_CHECK_INTERVAL = Duration.ofMillis(50);

    private static final Refusal STOPPING_REFUSAL =
            Refusal.of(ResultCode.PROCESS_STOPPING).withRetryAfter(Duration.ZERO);
    private static final Refusal ENDED_BY_STOP = Refusal.of(ResultCode.DEADLINE_PASSED, "the process stops");

    private final ForwardingContext context;
    private final BiConsumer<OpenRequest, Refusal> onRefused;
    private final Set<OpenRequest> open = ConcurrentHashMap.newKeySet();
    private final RouteDurations durations = new RouteDurations();
    private volatile boolean stopping;
    private volatile long stopEndNanos;

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

    // Planned stop

    /** Begins a planned stop that ends after a time. */
    void beginStop(Duration left) {
        stopEndNanos = context.time().monotonicNanos() + left.toNanos();
        stopping = true;
        long millis = WAITING_CHECK_INTERVAL.toMillis();
        context.loop().scheduleWithFixedDelay(this::refuseHopeless, 0, millis, TimeUnit.MILLISECONDS);
    }

    /** Returns the shorter of a time and what is left until the end of a planned stop. */
    Duration limitByStop(Duration time) {
        Duration left = stopLeft();
        return stopping && left.compareTo(time) < 0 ? left : time;
    }

    /**
     * Returns whether a request that begins now usually ends before a planned stop does, or reaches its own time limit
     * before. A stream that may be resumed only has to begin: its caller continues it elsewhere.
     */
    boolean canEndBeforeStop(RequestForwarder.Admitted admitted, Duration ownTimeLeft) {
        if (!stopping || ownTimeLeft.compareTo(stopLeft()) <= 0) {
            return true;
        }
        Duration needed =
                admitted.route().resumable() ? admitted.route().latencyObjective() : durations.usual(admitted);
        return needed.compareTo(stopLeft()) <= 0;
    }

    /** Records a request that was answered as a whole. */
    void recordDuration(RequestForwarder.Admitted admitted, Duration duration) {
        durations.record(admitted, duration);
    }

    /** Gives each open request its final answer. */
    void endAll() {
        logger.atWarning().log("%d requests are ended, the shutdown timeout is nearly over", count());
        log();
        open.forEach(r -> r.execute(() -> r.end(STOPPING_REFUSAL, ENDED_BY_STOP)));
    }

    /** Refuses the requests whose turn comes too late; another entry can serve them. */
    private void refuseHopeless() {
        open.forEach(r -> r.execute(() -> {
            if (r.isWaitingForItsFirstSend() && !r.canEndBeforeStop()) {
                r.end(STOPPING_REFUSAL, ENDED_BY_STOP);
            }
        }));
    }

    private Duration stopLeft() {
        return Duration.ofNanos(stopEndNanos - context.time().monotonicNanos());
    }

    /** Logs what each open request waits for. */
    private void log() {
        open.stream().limit(MAX_LOGGED).forEach(r -> logger.atWarning()
                .with(LogKeys.REQUEST, r.id())
                .with(LogKeys.UPSTREAM, r.upstreamId())
                .log("not answered at the end of the shutdown timeout: %s", r.describe()));
    }
}
