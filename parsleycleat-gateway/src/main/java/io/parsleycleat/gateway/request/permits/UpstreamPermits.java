package io.parsleycleat.gateway.request.permits;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.request.choose.UpstreamLimits;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Obtains permits to send requests of this entry to limited upstreams without a side, and reports what their answers
 * say to the entry that granted them.
 *
 * <p>One instance per entry; safe for use by several threads. Futures are completed on the thread that receives the
 * reply.
 */
public final class UpstreamPermits {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Time for which an entry that did not reply is not asked. */
    private static final Duration UNRESPONSIVE_PAUSE = Duration.ofSeconds(1);
    /** Retry delay while no entry grants permits. */
    private static final Duration NO_HOME_RETRY_DELAY = Duration.ofMillis(500);

    private final PermitHomes homes;
    private final PermitPeers peers;
    private final UpstreamLimits limits;
    private final TimeSource time;
    private final Map<String, Long> unresponsiveUntilNanos = new ConcurrentHashMap<>();

    /**
     * A permission to send one request.
     *
     * @param home the entry that granted it
     * @param number identifies it there
     */
    public record Permit(String home, long number) {}

    /**
     * The result of a request for a permit.
     *
     * @param permit null if none was granted
     * @param maySend whether the request may be sent, with the permit or because the upstream has no limit any more
     * @param retryAfter when a refused request may ask again
     */
    public record Decision(boolean maySend, @Nullable Permit permit, Duration retryAfter) {
        private static Decision refused(Duration retryAfter) {
            return new Decision(false, null, retryAfter);
        }
    }

    /** Creates an instance that asks the homes of upstreams through the given peers. */
    public UpstreamPermits(PermitHomes homes, PermitPeers peers, UpstreamLimits limits, TimeSource time) {
        this.homes = homes;
        this.peers = peers;
        this.limits = limits;
        this.time = time;
    }

    /**
     * Requests a permit for one request to a limited upstream.
     *
     * @param priority 0 is the most urgent
     * @param maxWait how long the request can wait for its turn
     */
    public CompletableFuture<Decision> request(Upstream upstream, int priority, Duration maxWait) {
        Optional<RequestLimit> known = limits.limit(upstream);
        if (known.isEmpty()) {
            return CompletableFuture.completedFuture(new Decision(true, null, Duration.ZERO));
        }
        UpstreamStart start = UpstreamStart.of(upstream);
        PermitQuery query = new PermitQuery(start, known.get(), limits.knownFor(upstream), priority, maxWait);
        return requestFrom(homes.homeAndDeputy(start), query);
    }

    /** Asks the first of the given entries, and the next one if it does not reply or cannot grant permits. */
    private CompletableFuture<Decision> requestFrom(List<String> entries, PermitQuery query) {
        if (entries.isEmpty()) {
            limits.close(query.upstream(), NO_HOME_RETRY_DELAY, query.priority());
            return CompletableFuture.completedFuture(Decision.refused(NO_HOME_RETRY_DELAY));
        }
        String entry = entries.get(0);
        List<String> others = entries.subList(1, entries.size());
        if (isUnresponsive(entry)) {
            return requestFrom(others, query);
        }
        return peers.requestPermit(entry, query)
                .handle((reply, failure) -> {
                    if (failure != null) {
                        markUnresponsive(entry, query, failure);
                    }
                    return failure != null || reply.result() == PermitReply.Result.INACTIVE
                            ? requestFrom(others, query)
                            : CompletableFuture.completedFuture(decide(entry, query, reply));
                })
                .thenCompose(decision -> decision);
    }

    private Decision decide(String entry, PermitQuery query, PermitReply reply) {
        return switch (reply.result()) {
            case GRANTED -> new Decision(true, new Permit(entry, reply.permit()), Duration.ZERO);
            case UNLIMITED -> {
                limits.forget(query.upstream());
                yield new Decision(true, null, Duration.ZERO);
            }
            case REFUSED, INACTIVE -> {
                limits.close(query.upstream(), reply.closedFor(), query.priority());
                yield Decision.refused(reply.retryAfter());
            }
        };
    }

    /**
     * Reports the limit that an answer names to the entry that granted the permit. Without a permit, the home is told
     * of a named limit.
     */
    public void onAnswer(Upstream upstream, @Nullable Permit permit, @Nullable RequestLimit named) {
        UpstreamStart start = UpstreamStart.of(upstream);
        if (permit != null) {
            peers.reportLimit(permit.home(), start, permit.number(), named);
        } else if (named != null) {
            homes.homeAndDeputy(start).stream()
                    .filter(e -> !isUnresponsive(e))
                    .findFirst()
                    .ifPresent(e -> peers.reportLimit(e, start, 0, named));
        }
    }

    private boolean isUnresponsive(String entry) {
        Long until = unresponsiveUntilNanos.get(entry);
        return until != null && time.monotonicNanos() - until < 0;
    }

    private void markUnresponsive(String entry, PermitQuery query, Throwable failure) {
        logger.atInfo()
                .with(LogKeys.PEER, entry)
                .with(LogKeys.UPSTREAM, query.upstream().upstreamId())
                .log("entry does not answer for permits: %s", Failures.unwrap(failure));
        unresponsiveUntilNanos.put(entry, time.monotonicNanos() + UNRESPONSIVE_PAUSE.toNanos());
    }
}
