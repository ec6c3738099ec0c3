package io.parsleycleat.gateway.process.members;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.gateway.ManualTimeSource;
import java.time.Duration;
import org.testng.annotations.Test;

public class EntryCountTest {
    private final ManualTimeSource time = new ManualTimeSource();
    private int known;
    private final EntryCount count = new EntryCount(() -> known, time);

    /** Guards against parts of a limit that add up to more than the whole while entries are cut off from each other. */
    @Test
    public void entriesThatAreNoLongerKnownCountForAWhile() {
        assertEquals(count.getAsInt(), 0);
        known = 5;
        assertEquals(count.getAsInt(), 5);
        known = 2;
        time.advance(Duration.ofSeconds(59));
        assertEquals(count.getAsInt(), 5);
        time.advance(Duration.ofSeconds(2));
        assertEquals(count.getAsInt(), 2);
        known = 3;
        assertEquals(count.getAsInt(), 3);
    }
}
