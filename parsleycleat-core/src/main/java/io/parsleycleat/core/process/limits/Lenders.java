package io.parsleycleat.core.process.limits;

import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.Lend;
import io.parsleycleat.wire.escrow.LendAnswer;
import java.util.concurrent.CompletableFuture;

/** Asks another home for tokens. Implementations are safe to share between threads. */
@FunctionalInterface
interface Lenders {
    /** Completes with what was lent; fails when the home does not answer in time. */
    CompletableFuture<LendAnswer> ask(EpochMember home, Lend request);
}
