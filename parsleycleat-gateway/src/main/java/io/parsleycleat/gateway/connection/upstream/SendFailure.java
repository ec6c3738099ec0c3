package io.parsleycleat.gateway.connection.upstream;

import java.util.Objects;

/**
 * Why there is no whole answer.
 *
 * @param mayHaveRun whether bytes of the request may have reached the upstream
 * @param connectionLost whether the connection broke, as it does when the upstream crashes
 */
public record SendFailure(boolean mayHaveRun, boolean connectionLost, String detail) {
    public SendFailure {
        Objects.requireNonNull(detail, "detail");
    }

    /** Returns a failure before any byte left. */
    public static SendFailure notSent(String detail) {
        return new SendFailure(false, true, detail);
    }

    /** Returns the loss of the connection after bytes left. */
    public static SendFailure connectionBroken(String detail) {
        return new SendFailure(true, true, detail);
    }

    /** Returns an answer that cannot be used. */
    public static SendFailure invalidResponse(String detail) {
        return new SendFailure(true, false, detail);
    }
}
