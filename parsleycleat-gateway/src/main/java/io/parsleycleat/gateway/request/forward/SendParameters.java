package io.parsleycleat.gateway.request.forward;

import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * What the entry adds to a request for one upstream.
 *
 * @param timeLeft how long the caller still waits
 * @param account the client account that holds the caller's key; null without a key
 * @param priority 0 is the most urgent; null where the upstream knows no priorities
 * @param adapterVersion the version that the upstream must hold; 0 for any
 * @param resumeAfterEventId the last event that the caller has; null for a stream from its start
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
