package io.parsleycleat.core.process.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.Test;

public class PartSlotTest {
    private static PartSlot held(double tokens) {
        PartSlot slot = new PartSlot(false);
        slot.own(Set.of("old"), 1);
        slot.receive("old", tokens, false);
        assertTrue(slot.isComplete());
        assertEquals(slot.hold(100), tokens);
        return slot;
    }

    @Test
    public void waitsForEveryFormerOwner() {
        PartSlot slot = new PartSlot(true);
        slot.own(Set.of("a", "b"), 1);
        slot.receive("a", 0, true);
        assertFalse(slot.isComplete());
        slot.receive("a", 50, true);
        slot.receive("b", 0, true);
        assertTrue(slot.isComplete());
        assertEquals(slot.hold(100), 100.0);
    }

    @Test
    public void startsEmptyWhenAFormerOwnerMayHaveSpent() {
        PartSlot slot = new PartSlot(true);
        slot.own(Set.of("a"), 1);
        slot.receive("a", 0, false);
        assertEquals(slot.hold(100), 0.0);
    }

    @Test
    public void givesItsTokensOnceToTheNextOwner() {
        PartSlot slot = held(40);
        slot.disown(40, "next", 1000);
        assertEquals(slot.give("next", 7, 1), 40.0);
        assertEquals(slot.give("next", 7, 2), 40.0);
        assertEquals(slot.give("next", 8, 3), 0.0);
        assertEquals(slot.give("other", 7, 4), 0.0);
        assertEquals(slot.give("next", 7, 1000), 0.0);
    }

    @Test
    public void forgetsItsTokensWhenItOwnsThePartAgain() {
        PartSlot slot = held(40);
        slot.disown(40, "next", 1000);
        slot.own(Set.of("next"), 3);
        slot.receive("next", 5, false);
        assertEquals(slot.hold(100), 5.0);
    }
}
