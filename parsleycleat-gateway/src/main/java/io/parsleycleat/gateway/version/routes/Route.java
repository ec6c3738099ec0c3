package io.parsleycleat.gateway.version.routes;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Describes how requests to one host and path prefix are served. Immutable.
 *
 * @param pathPrefix begins and ends with a slash
 * @param shares the services with their weights, at least one
 * @param timeout the maximum time from a request to the end of its answer
 * @param latencyObjective the time within which an answer has its full value; for streams, the time to the first event
 * @param maxEventPause the longest pause between events with which a stream has its full value; zero for any
 * @param priority 0 is the most urgent
 * @param maxUpstreams the maximum number of upstreams to which one request may be sent
 * @param open whether requests need no key
 * @param resumable whether another upstream may continue a stream that broke off
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        List<ServiceShare> shares,
        Duration timeout,
        Duration latencyObjective,
        Duration maxEventPause,
        int priority,
        int maxUpstreams,
        boolean open,
        boolean resumable) {
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(kind, "kind");
        shares = List.copyOf(shares);
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(latencyObjective, "objective");
        Objects.requireNonNull(maxEventPause, "pauseLimit");
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException("path prefix must begin and end with a slash: " + pathPrefix);
        }
    }

    /** Returns whether a request may run again after it may have run. */
    public boolean isRetryable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }

    /** Returns whether requests may go to a service, which has a weight. */
    public boolean leadsTo(String service) {
        return shares.stream().anyMatch(s -> s.service().equals(service) && s.weight() > 0);
    }

    /**
     * Returns the service that is selected by a point from 0 (inclusive) to 1 (exclusive) on the scale of all weights.
     */
    public String selectService(double point) {
        double left = point * shares.stream().mapToDouble(ServiceShare::weight).sum();
        for (ServiceShare share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
