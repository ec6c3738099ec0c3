package io.parsleycleat.gateway.request.permits;

import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import java.time.Duration;
import java.util.Objects;

/**
 * Asks for permission to send one request to an upstream that names a limit. Immutable.
 *
 * <p>Created by {@link UpstreamPermits} for each question.
 *
 * @param known the limit as the asking entry knows it
 * @param knownFor the time since it was named
 * @param priority 0 is the most urgent
 * @param maxWait how long the request can wait for its turn
 */
public record PermitQuery(
        UpstreamStart upstream, RequestLimit known, Duration knownFor, int priority, Duration maxWait) {
    public PermitQuery {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(known, "known");
        Objects.requireNonNull(knownFor, "knownFor");
        Objects.requireNonNull(maxWait, "maxWait");
    }
}
