package io.parsleycleat.core.process.result;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The final answer to a request that is not served: a result code, a detail and when to come back.
 *
 * <p>Created where the decision falls; immutable and safe to share.
 */
public record Refusal(ResultCode code, String detail, @Nullable Duration retryAfter) {
    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(detail, "detail");
    }

    /** Returns a refusal that names no time to come back. */
    public static Refusal of(ResultCode code, String detail) {
        return new Refusal(code, detail, null);
    }

    /** Returns a refusal whose detail is the code's own meaning. */
    public static Refusal of(ResultCode code) {
        return new Refusal(code, code.meaning(), null);
    }

    /** Returns a copy that tells when to come back. */
    public Refusal withRetryAfter(Duration newRetryAfter) {
        return new Refusal(code, detail, newRetryAfter);
    }

    /** Returns when to come back, if that is known. */
    public Optional<Duration> retry() {
        return Optional.ofNullable(retryAfter);
    }

    /** Returns the refusal as an exception. */
    public RequestException toException() {
        return new RequestException(this);
    }
}
