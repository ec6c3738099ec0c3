package io.parsleycleat.gateway.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.process.members.EntryMembers;
import io.parsleycleat.wire.gate.EntryRecord;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EntryMembersTest {
    private static final byte[] RECORD =
            EntryRecord.newBuilder().setPeerAddress("10.0.0.2:7600").build().toByteArray();

    private ManualTimeSource time;
    private EntryMembers members;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        members = new EntryMembers("self", time);
    }

    /** Pattern: the store comes back from a copy that lacks an entry's record. */
    @Test
    public void anEntryWhoseRecordOnlyTheStoreLostStaysUntilItLapses() {
        members.onPut("b", RECORD);
        members.onDelete("b", true);
        assertTrue(members.others().containsKey("b"));
        time.advanceMillis(7_501);
        assertFalse(members.others().containsKey("b"));
        members.onPut("b", RECORD);
        members.onDelete("b", false);
        assertFalse(members.others().containsKey("b"));
    }

    @Test
    public void othersAreKnownByTheirRecordsAndTheEntryItselfIsNone() {
        members.onPut("self", RECORD);
        members.onPut("b", RECORD);
        assertEquals(members.others(), Map.of("b", "10.0.0.2:7600"));
        members.onDelete("b", false);
        assertEquals(members.others(), Map.of());
    }

    @Test
    public void aRecordThatIsNotRenewedLapses() {
        members.onPut("b", RECORD);
        time.advanceMillis(7_000);
        assertEquals(members.others().keySet(), Set.of("b"));
        time.advanceMillis(600);
        assertEquals(members.others().keySet(), Set.of());
    }

    @Test
    public void nobodyLapsesWhileTheStoreIsSilentNorRightAfter() {
        members.onPut("b", RECORD);
        time.advanceMillis(5_000);
        members.storeSilentFor(Duration.ofSeconds(5));
        time.advanceMillis(6_000);
        members.storeSilentFor(Duration.ofSeconds(11));
        members.storeSilentFor(Duration.ZERO);
        time.advanceMillis(7_000);
        assertEquals(members.others().keySet(), Set.of("b"));
    }

    private boolean stands() {
        return members.isStanding(Duration.ofMillis(100));
    }

    @Test
    public void anEntryStopsToStandBeforeTheOthersCountItOut() {
        assertFalse(stands());
        members.onPut("self", members.ownRecord("10.0.0.1:7600", "north").toByteArray());
        members.ownRecordWritten(time.monotonicNanos());
        members.onPut("b", RECORD);
        time.advanceMillis(5_900);
        assertTrue(stands());
        time.advanceMillis(200);
        assertFalse(stands());
        assertEquals(members.others().keySet(), Set.of("b"));
    }

    @Test
    public void aNewEntryStandsOnceAllOthersKnowOfItOrDoNotStand() {
        members.ownRecordWritten(time.monotonicNanos());
        time.advanceMillis(4_200);
        assertFalse(stands());
        time.advanceMillis(100);
        assertTrue(stands());
    }

    @Test
    public void aRestartWithinTheLifeOfTheRecordStandsAtOnce() {
        members.onPut("self", members.ownRecord("10.0.0.1:7600", "north").toByteArray());
        time.advanceMillis(4_900);
        EntryMembers restarted = new EntryMembers("self", time);
        restarted.onPut("self", members.ownRecord("10.0.0.1:7600", "north").toByteArray());
        restarted.ownRecordWritten(time.monotonicNanos());
        assertTrue(restarted.isStanding(Duration.ZERO));
    }

    @Test
    public void aRestartAfterTheLifeOfTheRecordWaitsLikeANewEntry() {
        byte[] old = members.ownRecord("10.0.0.1:7600", "north").toByteArray();
        time.advanceMillis(5_100);
        EntryMembers restarted = new EntryMembers("self", time);
        restarted.onPut("self", old);
        restarted.ownRecordWritten(time.monotonicNanos());
        assertFalse(restarted.isStanding(Duration.ZERO));
    }

    @Test
    public void nobodyStandsWhoMayNotKnowOfANewEntry() {
        members.onPut("self", members.ownRecord("10.0.0.1:7600", "north").toByteArray());
        members.ownRecordWritten(time.monotonicNanos());
        assertFalse(members.isStanding(Duration.ofMillis(4_001)));
        assertTrue(members.isStanding(Duration.ofMillis(3_999)));
    }

    /** Of two entries whose views differ, the old home stops to stand before the new one begins. */
    @Test
    public void anEntryThatWasCutFromTheStoreSettlesAgain() {
        members.onPut("self", members.ownRecord("10.0.0.1:7600", "north").toByteArray());
        members.ownRecordWritten(time.monotonicNanos());
        time.advanceMillis(8_000);
        members.ownRecordWritten(time.monotonicNanos());
        members.onPut("b", RECORD);
        members.onPut("b", RECORD);
        members.onPut("b", RECORD);
        time.advanceMillis(200);
        assertFalse(stands());
        time.advanceMillis(4_100);
        assertTrue(stands());
    }

    @Test
    public void anEntryStandsAtOnceAfterAStoreThatWasSilentForAll() {
        members.onPut("self", members.ownRecord("10.0.0.1:7600", "north").toByteArray());
        members.ownRecordWritten(time.monotonicNanos());
        time.advanceMillis(2_400);
        members.onPut("b", RECORD);
        time.advanceMillis(5_600);
        members.ownRecordWritten(time.monotonicNanos());
        members.onPut("b", RECORD);
        time.advanceMillis(200);
        assertTrue(stands(), "others renewed theirs right before and right after");
    }

    @Test
    public void aRecordThatCannotBeReadChangesNothing() {
        members.onPut("b", RECORD);
        members.onPut("b", "\u00ff\u00ff not a record".getBytes(StandardCharsets.ISO_8859_1));
        assertEquals(members.others(), Map.of("b", "10.0.0.2:7600"));
    }
}
