package io.parsleycleat.core.process.limits;

import java.time.Duration;
import java.util.Objects;

/**
 * What a home decided on a debit.
 *
 * <p>Created by {@link HomeAccount}; immutable and safe to share.
 */
record DebitDecision(Kind kind, Duration retryAfter, long epoch) {
    /** The ways in which a debit ends. */
    enum Kind {
        /** The tokens were taken. */
        GRANTED,
        /** The account has too few tokens. */
        REFUSED,
        /** This entry does not decide for the account; another home has to be asked. */
        NOT_HOME
    }

    DebitDecision {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    static DebitDecision granted(long epoch) {
        return new DebitDecision(Kind.GRANTED, Duration.ZERO, epoch);
    }

    static DebitDecision refused(Duration retryAfter, long epoch) {
        return new DebitDecision(Kind.REFUSED, retryAfter, epoch);
    }

    static DebitDecision notHome(long epoch) {
        return new DebitDecision(Kind.NOT_HOME, Duration.ZERO, epoch);
    }
}
