package io.parsleycleat.gateway.connection.upstream;

import java.util.Objects;

/**
 * Describes why a request got no complete response.
 *
 * @param mayHaveRun whether bytes of the request may have reached the upstream
 * @param connectionLost whether the connection broke, as it does when the upstream crashes
 */
public record SendFailure(boolean mayHaveRun, boolean connectionLost, String detail) {
    public SendFailure {
        Objects.requireNonNull(detail, "detail");
    }

    /** Returns a failure before any byte of the request was sent. */
    public static SendFailure notSent(String detail) {
        return new SendFailure(false, true, detail);
    }

    /** Returns a failure by loss of the connection after bytes of the request may have been sent. */
    public static SendFailure connectionBroken(String detail) {
        return new SendFailure(true, true, detail);
    }

    /** Returns a failure by a response that cannot be used, on a connection that is not lost. */
    public static SendFailure invalidResponse(String detail) {
        return new SendFailure(true, false, detail);
    }
}
