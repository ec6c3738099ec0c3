package io.parsleycleat.core.process.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.membership.Epoch;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.escrow.Debit;
import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.HandOver;
import io.parsleycleat.wire.escrow.HandOverAnswer;
import io.parsleycleat.wire.escrow.Lend;
import io.parsleycleat.wire.escrow.LendAnswer;
import io.parsleycleat.wire.escrow.LendReturn;
import io.parsleycleat.wire.escrow.Settlement;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

public class HomeAccountTest {
    private static final Account ACCOUNT = Account.newBuilder()
            .setId("a")
            .setTokensPerSecond(10)
            .setBurstTokens(100)
            .build();
    private static final EpochMember SELF = PartsTest.member(0, 1);
    private static final EpochMember OTHER = PartsTest.member(1, 1);
    private static final Epoch ALONE = new Epoch(1, List.of(SELF));
    private static final Epoch WITHOUT = new Epoch(2, List.of(OTHER));
    private static final Epoch AGAIN = new Epoch(3, List.of(SELF));

    private boolean standing = true;

    private HomeAccount home() {
        TimeSource still = new TimeSource() {
            @Override
            public long wallMillis() {
                return 0;
            }

            @Override
            public long monotonicNanos() {
                return 0;
            }
        };
        Lenders nobody = new Lenders() {
            @Override
            public CompletableFuture<LendAnswer> ask(EpochMember home, Lend request) {
                return CompletableFuture.failedFuture(new IllegalStateException("no lender"));
            }

            @Override
            public void giveBack(EpochMember home, LendReturn unspent) {
                throw new IllegalStateException("nothing was lent");
            }
        };
        HomeAccount home =
                new HomeAccount(ACCOUNT, true, SELF.getVmName(), still, () -> standing, nobody, EscrowSettings.DEFAULT);
        home.adopt(ALONE, List.of());
        return home;
    }

    private static Debit debit(String id, double tokens) {
        return Debit.newBuilder().setDebitId(id).setTokens(tokens).build();
    }

    private static HandOver ask(int part) {
        return HandOver.newBuilder()
                .setEpoch(2)
                .setPart(part)
                .setAsker(OTHER.getVmName())
                .build();
    }

    @Test
    public void aRepeatedDebitTakesNothingMore() {
        HomeAccount home = home();
        assertEquals(home.debit(debit("d", 60)).join().kind(), DebitDecision.Kind.GRANTED);
        assertEquals(home.debit(debit("d", 60)).join().kind(), DebitDecision.Kind.GRANTED);
        assertEquals(home.debit(debit("e", 40)).join().kind(), DebitDecision.Kind.GRANTED);
        DebitDecision refused = home.debit(debit("f", 40)).join();
        assertEquals(refused.kind(), DebitDecision.Kind.REFUSED);
        assertEquals(refused.retryAfter().toMillis(), 4000);
    }

    @Test
    public void aDebitThatWasGivenUpFirstTakesNothing() {
        HomeAccount home = home();
        home.settle(Settlement.newBuilder().setDebitId("d").setGivenUp(true).build());
        assertEquals(home.debit(debit("d", 60)).join().kind(), DebitDecision.Kind.NOT_HOME);
        assertEquals(home.debit(debit("e", 100)).join().kind(), DebitDecision.Kind.GRANTED);
    }

    @Test
    public void withoutStandingNothingIsSpentOrLent() {
        HomeAccount home = home();
        standing = false;
        assertEquals(home.debit(debit("d", 1)).join().kind(), DebitDecision.Kind.NOT_HOME);
        assertEquals(home.lend(Lend.newBuilder().setTokens(10).build()).getTokens(), 0.0);
        home.adopt(WITHOUT, List.of(ALONE));
        assertEquals(home.handOver(ask(0)).getTokens(), 0.0);
        standing = true;
    }

    @Test
    public void aPartIsHandedOverOnceItsEpochIsKnown() {
        HomeAccount home = home();
        assertTrue(!home.handOver(ask(0)).getGiven());
        home.adopt(WITHOUT, List.of(ALONE));
        assertEquals(home.handOver(ask(0)).getTokens(), 25.0);
        assertEquals(home.heldParts(), 0);
    }

    @Test
    public void aLateAnswerOfAnEarlierEpochIsNotTakenIn() {
        HomeAccount home = home();
        home.adopt(WITHOUT, List.of(ALONE));
        home.adopt(AGAIN, List.of(ALONE, WITHOUT));
        HandOverAnswer answer =
                HandOverAnswer.newBuilder().setGiven(true).setTokens(25).build();
        home.receive(0, OTHER.getVmName(), 2, answer);
        assertEquals(home.heldParts(), 0);
        home.receive(0, OTHER.getVmName(), 3, answer);
        assertEquals(home.heldParts(), 1);
    }
}
