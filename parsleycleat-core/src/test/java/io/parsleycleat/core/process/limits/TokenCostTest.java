package io.parsleycleat.core.process.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.testng.annotations.Test;

public class TokenCostTest {
    @Test
    public void reservesAnUpperBound() {
        assertEquals(TokenCost.of("stoff ähnlich", 100).upperBound(), 114.0);
        assertEquals(TokenCost.estimate("x".repeat(300), 2, 3, 100).upperBound(), 216.0);
    }

    @Test
    public void chargesWhatWasCountedWithinTheReservation() {
        TokenCost cost = new TokenCost(100, 50);
        assertEquals(cost.used(60, 20), 80.0);
        assertEquals(cost.used(90, 90), 150.0);
    }

    @Test
    public void refusesNegativeCounts() {
        assertThrows(IllegalArgumentException.class, () -> new TokenCost(-1, 0));
    }
}
