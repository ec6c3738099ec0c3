package io.parsleycleat.core.process.limits;

/** Tokens that were taken for one request. Created by a {@link TokenLimiter}; safe to share between threads. */
public interface Reservation {
    /** Returns the epoch that the tokens were taken in. */
    long epoch();

    /** Gives back what the request did not use. Only the first call has an effect. */
    void settle(double usedTokens);
}
