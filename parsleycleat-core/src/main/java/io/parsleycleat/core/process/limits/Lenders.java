package io.parsleycleat.core.process.limits;

import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.Lend;
import io.parsleycleat.wire.escrow.LendAnswer;
import io.parsleycleat.wire.escrow.LendReturn;
import java.util.concurrent.CompletableFuture;

/** Asks another home for tokens. Implementations are safe to share between threads. */
interface Lenders {
    /** Completes with what was lent; fails when the home does not answer in time. */
    CompletableFuture<LendAnswer> ask(EpochMember home, Lend request);

    /** Gives back what a loan brought and was not used; may be lost. */
    void giveBack(EpochMember home, LendReturn unspent);
}
