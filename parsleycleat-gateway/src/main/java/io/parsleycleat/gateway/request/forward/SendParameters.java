package io.parsleycleat.gateway.request.forward;

import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Values that the entry adds to a request when it sends it to one upstream. Immutable.
 *
 * <p>Created by {@link Forwarding} for each send.
 *
 * @param timeLeft the time that the upstream may take: what the caller has left where it set a deadline, else what the
 *     request has left on its route
 * @param account the client account to which the caller's key belongs; null for requests without a key
 * @param priority 0 is the most urgent; null if the upstream does not support priorities
 * @param adapterVersion the adapter version that the upstream must hold; 0 for any
 * @param resumeAfterEventId the id of the last event that the caller has; null for a stream from its start
 */
public record SendParameters(
        Upstream upstream,
        Duration timeLeft,
        @Nullable String account,
        @Nullable Integer priority,
        long adapterVersion,
        @Nullable Long resumeAfterEventId) {
    public SendParameters {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(timeLeft, "timeLeft");
    }
}
