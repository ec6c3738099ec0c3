package io.parsleycleat.gateway.version.upstreams;

import java.util.Objects;

/**
 * Identifies one start of an upstream, to which all that the upstream says of itself applies. Immutable.
 *
 * @param startMillis the time of its start, in Unix milliseconds
 */
public record UpstreamStart(String upstreamId, long startMillis) {
    public UpstreamStart {
        Objects.requireNonNull(upstreamId, "upstreamId");
    }

    /** Returns the start that a description is of. */
    public static UpstreamStart of(Upstream upstream) {
        return new UpstreamStart(upstream.id(), upstream.startMillis());
    }
}
