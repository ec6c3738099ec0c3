package io.parsleycleat.core.process.limits;

import java.time.Duration;

/**
 * The times of the token escrow.
 *
 * <p>Created from the settings at the start; immutable and safe to share.
 *
 * @param requestTimeout how long one process waits for another's answer
 * @param lendTimeout how long a home waits for a loan; what comes later is lost
 * @param lendTerm how long lent room is not minted again, and after which unspent borrowed tokens are dropped
 * @param retryUnreachable how long a process that did not answer is passed over
 * @param tickInterval how often awaited parts are asked for
 * @param releasedTokens how long the tokens of a part that went to another entry are kept for it; below the lapse
 * @param configurationSpread how long a new account takes to be known everywhere
 */
public record EscrowSettings(
        Duration requestTimeout,
        Duration lendTimeout,
        Duration lendTerm,
        Duration retryUnreachable,
        Duration tickInterval,
        Duration releasedTokens,
        Duration configurationSpread) {
    /** What suits processes that are at most some tens of milliseconds apart. */
    public static final EscrowSettings DEFAULT = new EscrowSettings(
            Duration.ofMillis(200),
            Duration.ofMillis(80),
            Duration.ofMillis(100),
            Duration.ofMillis(500),
            Duration.ofMillis(500),
            Duration.ofSeconds(5),
            Duration.ofSeconds(15));

    public EscrowSettings {
        if (lendTerm.compareTo(lendTimeout) < 0) {
            throw new IllegalArgumentException("the term of a loan must not be shorter than the timeout");
        }
    }

    /** Returns a copy with another term of loans. */
    public EscrowSettings withLendTerm(Duration newLendTerm) {
        return new EscrowSettings(
                requestTimeout,
                lendTimeout,
                newLendTerm,
                retryUnreachable,
                tickInterval,
                releasedTokens,
                configurationSpread);
    }
}
