package io.parsleycleat.gateway.request.forward;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.request.permits.UpstreamPermits;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Finds an upstream of a plain service for one request. A request to an upstream that names a limit needs a permit.
 *
 * <p>While another upstream can take the request, it does not wait for a permit; otherwise it waits for its turn, or is
 * refused at once if that comes too late.
 *
 * <p>Created by {@link Forwarding} for each send to a plain service; used on the event loop.
 */
final class PlainUpstreamSearch {
    /** Part of the time left that a request waits for its turn at most, so that the rest suffices to answer it. */
    private static final int MAX_WAIT_DIVISOR = 2;

    private final ForwardingContext context;
    private final OpenRequest open;
    private final String service;
    private final int priority;
    private final Duration timeLeft;
    private final Set<String> excluded;
    private final Consumer<Found> onFound;
    private final Consumer<Refusal> onRefused;
    private @Nullable Duration shortestRetryAfter;
    private boolean finished;

    /**
     * An upstream to which the request may be sent now.
     *
     * @param permit null if the upstream names no limit
     */
    record Found(Upstream upstream, UpstreamPermits.@Nullable Permit permit) {}

    /**
     * Creates a search; {@link #start} starts it.
     *
     * @param open owns the request
     * @param priority 0 is the most urgent
     * @param excluded ids of the upstreams that are not considered
     */
    PlainUpstreamSearch(
            ForwardingContext context,
            OpenRequest open,
            String service,
            int priority,
            Set<String> excluded,
            Consumer<Found> onFound,
            Consumer<Refusal> onRefused) {
        this.context = context;
        this.open = open;
        this.service = service;
        this.priority = priority;
        this.timeLeft = open.timeLeft();
        this.excluded = new HashSet<>(excluded);
        this.onFound = onFound;
        this.onRefused = onRefused;
    }

    /** Chooses an upstream, and reports it or a refusal once, possibly before this method returns. */
    void start() {
        List<Upstream> candidates = context.availableUpstreams(service).stream()
                .filter(u -> !excluded.contains(u.id()))
                .toList();
        List<Upstream> ready =
                candidates.stream().filter(u -> closedFor(u).isZero()).toList();
        Optional<Upstream> best = context.plainChooser().choose(ready, Set.of());
        if (best.isPresent()) {
            tryUpstream(best.get(), ready.size() > 1 ? Duration.ZERO : maxWait());
        } else {
            candidates.stream().min(Comparator.comparing(this::closedFor)).ifPresentOrElse(this::waitFor, this::refuse);
        }
    }

    /** Cancels the search; what is found later is not used. */
    void cancel() {
        finished = true;
    }

    private Duration closedFor(Upstream upstream) {
        return context.limits().closedFor(upstream, priority);
    }

    private Duration maxWait() {
        return timeLeft.dividedBy(MAX_WAIT_DIVISOR);
    }

    /** Waits for a turn at the upstream that has one first, unless that comes too late. */
    private void waitFor(Upstream upstream) {
        Duration closed = closedFor(upstream);
        if (closed.compareTo(maxWait()) > 0) {
            recordRetryAfter(closed);
            refuse();
        } else {
            tryUpstream(upstream, maxWait());
        }
    }

    private void tryUpstream(Upstream upstream, Duration wait) {
        if (!context.limits().isLimited(upstream)) {
            finished = true;
            onFound.accept(new Found(upstream, null));
            return;
        }
        context.permits()
                .request(upstream, priority, wait)
                .whenCompleteAsync(
                        open.guard((decision, failure) -> onDecision(upstream, wait, decision)), context.loop());
    }

    private void onDecision(Upstream upstream, Duration wait, UpstreamPermits.@Nullable Decision decision) {
        if (finished) {
            return;
        }
        if (decision != null && decision.maySend() && context.availability().isAvailable(upstream)) {
            finished = true;
            onFound.accept(new Found(upstream, decision.permit()));
            return;
        }
        if (decision == null
                || decision.maySend()
                || !wait.isZero()
                || decision.retryAfter().isZero()) {
            excluded.add(upstream.id());
        }
        if (decision != null && !decision.maySend()) {
            recordRetryAfter(decision.retryAfter());
        }
        start();
    }

    /** Keeps the shortest time after which an upstream can take a request again. */
    private void recordRetryAfter(Duration after) {
        Duration known = shortestRetryAfter;
        shortestRetryAfter = known == null || after.compareTo(known) < 0 ? after : known;
    }

    private void refuse() {
        finished = true;
        Duration wait = shortestRetryAfter;
        onRefused.accept(
                wait == null
                        ? Refusal.of(ResultCode.NO_UPSTREAM).withRetryAfter(context.noUpstreamRetryAfter(service))
                        : Refusal.of(ResultCode.UPSTREAM_LIMITED)
                                .withRetryAfter(context.limits().retryAfter(wait)));
    }
}
