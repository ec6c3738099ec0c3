package io.parsleycleat.core.process.limits;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.wire.configuration.Account;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/**
 * Holds every client account to its rate and burst over the whole fleet.
 *
 * <p>One an entry; implementations are safe to share between threads.
 */
public interface TokenLimiter {
    /** Reserves an upper bound of a request's tokens, or says why not and when to come back. */
    CompletableFuture<Either<Refusal, Reservation>> reserve(Account account, double tokens);
}
