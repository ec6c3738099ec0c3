package io.parsleycleat.core.connection.body;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Guards against many bodies that are each within their own limit and fill the heap together. */
public class BodyMemoryTest {
    private static final int KIB = 1024;
    private static final int MIB = 1024 * KIB;

    private final BodyMemory memory = new BodyMemory(16 * MIB);

    @Test
    public void largeBodiesLeaveRoomForSmallOnes() {
        List<BodyMemory.Holder> large =
                IntStream.range(0, 40).mapToObj(i -> memory.newHolder()).toList();
        assertEquals(large.stream().filter(h -> h.hold(MIB)).count(), 12);
        List<BodyMemory.Holder> small =
                IntStream.range(0, 100).mapToObj(i -> memory.newHolder()).toList();
        assertEquals(small.stream().filter(h -> h.hold(64 * KIB)).count(), 64);
        assertEquals(memory.takenBytes(), 16 * MIB);
        large.forEach(BodyMemory.Holder::close);
        small.forEach(BodyMemory.Holder::close);
        assertEquals(memory.takenBytes(), 0);
    }

    @Test
    public void refusedGrowthKeepsWhatIsHeld() {
        BodyMemory.Holder holder = memory.newHolder();
        assertTrue(holder.hold(10 * MIB));
        assertFalse(holder.hold(13 * MIB));
        assertEquals(holder.heldBytes(), 10 * MIB);
        assertTrue(holder.hold(KIB));
        assertEquals(memory.takenBytes(), KIB);
        holder.close();
        holder.close();
        assertEquals(memory.takenBytes(), 0);
    }
}
