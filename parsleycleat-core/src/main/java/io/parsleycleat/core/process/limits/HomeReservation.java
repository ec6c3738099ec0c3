package io.parsleycleat.core.process.limits;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A reservation that was taken from a home.
 *
 * <p>Created by {@link EscrowLimiter} for each granted request; safe to share between threads.
 */
final class HomeReservation implements Reservation {
    private final RoutedDebit debit;
    private final AtomicBoolean settled = new AtomicBoolean();

    HomeReservation(RoutedDebit debit) {
        this.debit = debit;
    }

    @Override
    public long epoch() {
        return debit.decision().epoch();
    }

    @Override
    public void settle(double usedTokens) {
        if (settled.compareAndSet(false, true)) {
            debit.giveBack().accept(Math.max(0, debit.tokens() - usedTokens));
        }
    }
}
