package io.parsleycleat.gateway.request.permits;

import java.time.Duration;
import java.util.Objects;

/**
 * The answer to a {@link PermitQuery}. Immutable.
 *
 * @param permit identifies a granted permit in the report of the answer; 0 if none was granted
 * @param retryAfter when the caller of a refused request may come back; zero for other results
 * @param closedFor how long the asking entry need not ask again for such a request; zero for other results
 */
public record PermitReply(Result result, long permit, Duration retryAfter, Duration closedFor) {
    /** The upstream names no limit any more. */
    public static final PermitReply UNLIMITED = new PermitReply(Result.UNLIMITED, 0, Duration.ZERO, Duration.ZERO);
    /** The asked entry cannot grant permits now. */
    public static final PermitReply INACTIVE = new PermitReply(Result.INACTIVE, 0, Duration.ZERO, Duration.ZERO);

    /** What the asked entry decided. */
    public enum Result {
        GRANTED,
        REFUSED,
        /** The upstream names no limit any more, so no permit is needed. */
        UNLIMITED,
        /** Another entry may be granting permits for the upstream too, so the asked one must not. */
        INACTIVE
    }

    public PermitReply {
        Objects.requireNonNull(result, "result");
        Objects.requireNonNull(retryAfter, "retryAfter");
        Objects.requireNonNull(closedFor, "closedFor");
    }

    /** Creates the reply that grants a permit. */
    public static PermitReply granted(long permit) {
        return new PermitReply(Result.GRANTED, permit, Duration.ZERO, Duration.ZERO);
    }

    /** Creates the reply that refuses a permit for some time. */
    public static PermitReply refused(Duration retryAfter, Duration closedFor) {
        return new PermitReply(Result.REFUSED, 0, retryAfter, closedFor);
    }
}
