package io.parsleycleat.gateway.request.forward;

import io.parsleycleat.gateway.version.routes.Route;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The upstreams to which one request was sent, and whether it may be sent to another one.
 *
 * <p>Created by {@link Forwarding} for each request; used on the event loop.
 */
final class TriedUpstreams {
    private static final int MAX_SENDS = 4;

    private final ForwardingContext context;
    private final Route route;
    private final String service;
    private final Set<String> attemptedIds = new HashSet<>();
    private final Set<String> unreachableIds = new HashSet<>();
    private int sendCount;

    TriedUpstreams(ForwardingContext context, Route route, String service) {
        this.context = context;
        this.route = route;
        this.service = service;
    }

    void onSend(Upstream upstream) {
        sendCount++;
        attemptedIds.add(upstream.id());
    }

    /** Records that no byte of the request has reached an upstream, so that it does not count as tried. */
    void onUnreachable(Upstream upstream) {
        attemptedIds.remove(upstream.id());
        unreachableIds.add(upstream.id());
    }

    /** Returns the number of sends, those that reached no upstream included. */
    int sendCount() {
        return sendCount;
    }

    /** Returns the ids of the upstreams that are not tried again. */
    Set<String> ids() {
        Set<String> tried = new HashSet<>(unreachableIds);
        tried.addAll(attemptedIds);
        return tried;
    }

    /** Returns whether the route allows a further upstream and there is one. */
    boolean mayTryAnother() {
        return attemptedIds.size() < route.maxUpstreams() && mayReplaceUnreachable();
    }

    /** Returns whether there is another upstream for a request that did not reach the last one. */
    boolean mayReplaceUnreachable() {
        return sendCount < MAX_SENDS && untried().findAny().isPresent();
    }

    /** Returns whether there is another upstream that names no limit, so that it can take the request at once. */
    boolean hasUntriedUnlimited() {
        return untried().anyMatch(u -> !context.limits().isLimited(u));
    }

    private Stream<Upstream> untried() {
        return context.availableUpstreams(service).stream()
                .filter(u -> !attemptedIds.contains(u.id()) && !unreachableIds.contains(u.id()));
    }
}
