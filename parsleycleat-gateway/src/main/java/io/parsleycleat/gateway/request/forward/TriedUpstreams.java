package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.gateway.version.routes.Route;
import io.parsleycleat.gateway.version.routes.ServiceShare;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.util.HashSet;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;

/**
 * The upstreams to which one request was sent, whether it may be sent to another one, and of which service: the one of
 * its admission, until that has none left and the newest configuration leads the route to another service.
 *
 * <p>Created by {@link Forwarding} for each request; used on the event loop.
 */
final class TriedUpstreams {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_SENDS = 4;

    private final ForwardingContext context;
    private final RequestForwarder.Admitted admitted;
    private final DoubleSupplier random;
    private final Set<String> attemptedIds = new HashSet<>();
    private final Set<String> unreachableIds = new HashSet<>();
    private String service;
    private int sendCount;

    /**
     * Creates an instance for a request that was not sent yet.
     *
     * @param random numbers from 0 to 1 that select a service of a route
     */
    TriedUpstreams(
            ForwardingContext context, RequestForwarder.Admitted admitted, String service, DoubleSupplier random) {
        this.context = context;
        this.admitted = admitted;
        this.service = service;
        this.random = random;
    }

    /** Returns the service at which the request finds its next upstream. */
    String service() {
        Route newest = admitted.newestRoute(context.configuration());
        if (!newest.leadsTo(service) && untriedOf(service).findAny().isEmpty()) {
            Stream.concat(
                            Stream.of(newest.selectService(random.getAsDouble())),
                            newest.shares().stream().map(ServiceShare::service))
                    .filter(s -> newest.leadsTo(s) && untriedOf(s).findAny().isPresent())
                    .findFirst()
                    .ifPresent(this::moveTo);
        }
        return service;
    }

    private void moveTo(String newService) {
        logger.atInfo()
                .with(LogKeys.REQUEST, admitted.request().id())
                .log("no upstream of %s is left; the route leads to %s now", service, newService);
        service = newService;
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
        return attemptedIds.size() < admitted.route().maxUpstreams() && mayReplaceUnreachable();
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
        return untriedOf(service());
    }

    private Stream<Upstream> untriedOf(String anyService) {
        return context.availableUpstreams(anyService).stream()
                .filter(u -> !attemptedIds.contains(u.id()) && !unreachableIds.contains(u.id()));
    }
}
