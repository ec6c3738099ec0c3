package io.parsleycleat.standin.measure.limits;

import io.parsleycleat.core.process.limits.Reservation;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.wire.configuration.Account;
import io.vavr.control.Either;
import java.util.function.Consumer;

/** A way to hold accounts to their rate over a simulated fleet. Used by one thread. */
@FunctionalInterface
interface LimitStrategy {
    /** Asks an entry for tokens; the result may come later. */
    void reserve(int entry, Account account, double tokens, Consumer<Either<Refusal, Reservation>> result);
}
