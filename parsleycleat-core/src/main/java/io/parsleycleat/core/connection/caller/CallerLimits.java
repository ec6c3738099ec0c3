package io.parsleycleat.core.connection.caller;

import java.time.Duration;

/**
 * What one caller's connection may take up.
 *
 * @param maxHeaderBytes size of the request line and headers together
 * @param maxBodyBytes size of a request body
 * @param maxConnections open connections over all callers
 * @param requestReadTimeout time from a request's first header to the end of its body
 * @param idleTimeout time until a connection without a request is closed
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, int maxConnections, Duration requestReadTimeout, Duration idleTimeout) {
    /** Limits that suit a thin VM. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 1024 * 1024, 4096, Duration.ofSeconds(10), Duration.ofSeconds(60));

    public CallerLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 0 || maxConnections < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /** Returns a copy with other timeouts. */
    public CallerLimits withTimeouts(Duration newRequestReadTimeout, Duration newIdleTimeout) {
        return new CallerLimits(maxHeaderBytes, maxBodyBytes, maxConnections, newRequestReadTimeout, newIdleTimeout);
    }

    /** Returns a copy with another number of connections. */
    public CallerLimits withMaxConnections(int newMaxConnections) {
        return new CallerLimits(maxHeaderBytes, maxBodyBytes, newMaxConnections, requestReadTimeout, idleTimeout);
    }
}
