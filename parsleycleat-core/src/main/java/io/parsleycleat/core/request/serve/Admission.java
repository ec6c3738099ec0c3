package io.parsleycleat.core.request.serve;

import io.parsleycleat.core.process.limits.Reservation;
import java.util.Objects;

/**
 * What an admitted request holds until it ends: tokens, and a place among the free tier's requests.
 *
 * <p>Created by {@link EntryContext} for each admitted request; safe to share between threads.
 */
record Admission(Reservation reservation, Runnable leave) {
    Admission {
        Objects.requireNonNull(reservation, "reservation");
        Objects.requireNonNull(leave, "leave");
    }

    /** Returns the epoch that the tokens were taken in. */
    long epoch() {
        return reservation.epoch();
    }

    /** Gives everything back that was not used. Called once. */
    void end(double usedTokens) {
        reservation.settle(usedTokens);
        leave.run();
    }
}
