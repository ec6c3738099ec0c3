package io.parsleycleat.core.process.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class BudgetPartTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double DELTA = 1e-3;

    private static BudgetPart full(double rate, double burst) {
        BudgetPart part = new BudgetPart(rate, burst, 0);
        part.addPart(burst, 0, 0);
        return part;
    }

    @Test
    public void mintsUpToTheBurst() {
        BudgetPart part = full(10, 100);
        assertTrue(part.debit("a", 100, 0));
        assertFalse(part.debit("b", 1, 0));
        assertEquals(part.available(3 * SECOND), 30, DELTA);
        assertEquals(part.available(60 * SECOND), 100, DELTA);
    }

    @Test
    public void tellsWhenTheTokensAreThere() {
        BudgetPart part = full(10, 100);
        part.debit("a", 100, 0);
        assertEquals(part.secondsUntil(40, SECOND).orElseThrow(), 3, DELTA);
        assertTrue(part.secondsUntil(101, SECOND).isEmpty());
    }

    @Test
    public void givesBackWhatASingleBucketWouldStillHave() {
        BudgetPart part = full(10, 100);
        part.debit("a", 100, 0);
        part.settle("a", 40, 5 * SECOND);
        assertEquals(part.available(5 * SECOND), 90, DELTA);
        part.settle("a", 40, 5 * SECOND);
        assertEquals(part.available(5 * SECOND), 90, DELTA);
    }

    @Test
    public void mintedTokensDisplaceReturns() {
        BudgetPart part = full(10, 100);
        part.debit("a", 100, 0);
        assertEquals(part.available(10 * SECOND), 100, DELTA);
        assertTrue(part.debit("b", 100, 10 * SECOND));
        part.settle("a", 90, 10 * SECOND);
        assertEquals(part.available(10 * SECOND), 0, DELTA);
    }

    @Test
    public void lentRoomIsNotMintedBeforeItsTerm() {
        BudgetPart part = full(10, 100);
        assertEquals(part.lend("l", 60, 0, 2 * SECOND, 0), 60, DELTA);
        assertEquals(part.available(2 * SECOND), 40, DELTA);
        assertEquals(part.available(3 * SECOND), 50, DELTA);
    }

    @Test
    public void borrowedTokensAboveTheBurstAreDroppedAfterTheTerm() {
        BudgetPart part = full(10, 100);
        part.borrow("l", 60, 0, 2 * SECOND, 0);
        assertEquals(part.available(SECOND), 160, DELTA);
        assertEquals(part.available(2 * SECOND), 100, DELTA);
        part.borrow("m", 50, 0, 2 * SECOND, 3 * SECOND);
        assertEquals(part.available(3 * SECOND), 100, DELTA);
    }

    @Test
    public void unspentLoansGoBackWithTheirRoom() {
        BudgetPart lender = full(10, 100);
        BudgetPart borrower = full(10, 100);
        borrower.borrow("l", lender.lend("l", 60, 0, SECOND, 0), 0, SECOND, 0);
        double unspent = borrower.removeUnspent("l", 0);
        assertEquals(unspent, 60, DELTA);
        assertEquals(borrower.removeUnspent("l", 0), 0, DELTA);
        lender.takeBack("l", unspent, 0);
        lender.takeBack("l", unspent, 0);
        assertEquals(lender.available(0), 100, DELTA);
        assertEquals(borrower.available(0), 100, DELTA);
    }

    @Test
    public void aPartGoesWithItsShareOfTheTokens() {
        BudgetPart part = full(10, 100);
        part.addPart(0, 0, 0);
        part.debit("a", 40, 0);
        assertEquals(part.removePart(0), 30, DELTA);
        assertEquals(part.available(0), 30, DELTA);
        assertEquals(part.removePart(0), 30, DELTA);
        assertEquals(part.available(100 * SECOND), 0, DELTA);
    }

    /** Two homes that lend to each other, with returns and lost loans, against the bound of every window. */
    @Test
    public void noWindowExceedsBurstAndRate() {
        for (int seed = 0; seed < 200; seed++) {
            assertTrue(worstExcess(seed) <= 200 + DELTA, "seed " + seed);
        }
    }

    private static double worstExcess(int seed) {
        Random random = new Random(seed);
        BudgetPart[] homes = {full(10, 100), full(10, 100)};
        long now = 0;
        double excess = 0;
        double worst = 0;
        for (int step = 0; step < 400; step++) {
            long pause = (long) (random.nextDouble() * random.nextDouble() * 4 * SECOND);
            now += pause;
            excess = Math.max(0, excess - 20.0 * pause / SECOND);
            int at = random.nextInt(2);
            if (random.nextInt(3) == 0) {
                double wanted = random.nextInt(120);
                double room = homes[at].keepRoom(wanted, now);
                double lent = homes[1 - at].lend("l" + step, wanted, room, now + SECOND, now);
                if (random.nextInt(4) > 0) {
                    homes[at].borrow("l" + step, lent, room, now + SECOND, now);
                } else {
                    homes[at].freeRoom(room, now);
                }
            }
            double tokens = random.nextInt(150);
            if (homes[at].debit("d" + step, tokens, now)) {
                double used = random.nextBoolean() ? tokens : tokens * random.nextDouble();
                excess += used;
                homes[at].settle("d" + step, tokens - used, now);
            }
            if (random.nextInt(3) == 0) {
                homes[1 - at].takeBack("l" + step, homes[at].removeUnspent("l" + step, now), now);
            }
            worst = Math.max(worst, excess);
        }
        return worst;
    }
}
