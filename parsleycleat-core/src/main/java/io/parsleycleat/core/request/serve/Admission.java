package io.parsleycleat.core.request.serve;

import io.parsleycleat.core.process.limits.Reservation;
import io.parsleycleat.core.process.result.Refusal;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * What an admitted request holds until it ends: tokens, and a place among the free tier's requests.
 *
 * <p>Created by {@link EntryContext} for each admitted request; guarded by its own lock.
 */
final class Admission {
    private final Supplier<CompletableFuture<Either<Refusal, Reservation>>> reserve;
    private final Runnable leave;
    private Reservation reservation;
    private boolean ended;

    Admission(
            Reservation reservation,
            Supplier<CompletableFuture<Either<Refusal, Reservation>>> reserve,
            Runnable leave) {
        this.reservation = reservation;
        this.reserve = reserve;
        this.leave = leave;
    }

    /** Returns the epoch that the tokens were taken in. */
    synchronized long epoch() {
        return reservation.epoch();
    }

    /** Takes the tokens anew, after the epoch of the first ones has passed, and gives those back. */
    CompletableFuture<Either<Refusal, Long>> renew() {
        return reserve.get().thenApply(reserved -> reserved.map(this::replace));
    }

    /** Gives everything back that was not used. Only the first call has an effect. */
    void end(double usedTokens) {
        Reservation held;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            held = reservation;
        }
        try {
            held.settle(usedTokens);
        } finally {
            leave.run();
        }
    }

    private Long replace(Reservation renewed) {
        Reservation unused;
        synchronized (this) {
            unused = ended ? renewed : reservation;
            reservation = ended ? reservation : renewed;
        }
        unused.settle(0);
        return renewed.epoch();
    }
}
