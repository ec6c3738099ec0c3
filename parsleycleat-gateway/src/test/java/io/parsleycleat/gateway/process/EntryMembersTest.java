package io.parsleycleat.gateway.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.process.members.EntryMembers;
import io.parsleycleat.wire.gate.EntryRecord;
import io.parsleycleat.wire.gate.QuarantinedPart;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
        members = new EntryMembers("self", time, p -> {});
    }

    /** Guards against losing a running entry when the store is restored from a copy that lacks its record. */
    @Test
    public void entryMissingFromRestoredStoreIsKeptUntilItsRecordExpires() {
        members.onPut("b", RECORD);
        members.onDelete("b", true);
        assertTrue(members.peerAddresses().containsKey("b"));
        time.advanceMillis(7_501);
        assertFalse(members.peerAddresses().containsKey("b"));
        members.onPut("b", RECORD);
        members.onDelete("b", false);
        assertFalse(members.peerAddresses().containsKey("b"));
    }

    @Test
    public void otherEntriesAreListedWithoutTheEntryItself() {
        members.onPut("self", RECORD);
        members.onPut("b", RECORD);
        assertEquals(members.peerAddresses(), Map.of("b", "10.0.0.2:7600"));
        members.onDelete("b", false);
        assertEquals(members.peerAddresses(), Map.of());
    }

    @Test
    public void recordThatIsNotRenewedExpires() {
        members.onPut("b", RECORD);
        time.advanceMillis(7_000);
        assertEquals(members.peerAddresses().keySet(), Set.of("b"));
        time.advanceMillis(600);
        assertEquals(members.peerAddresses().keySet(), Set.of());
    }

    @Test
    public void noRecordExpiresDuringOrRightAfterAStoreOutage() {
        members.onPut("b", RECORD);
        time.advanceMillis(5_000);
        members.updateReadAge(Duration.ofSeconds(5));
        time.advanceMillis(6_000);
        members.updateReadAge(Duration.ofSeconds(11));
        members.updateReadAge(Duration.ZERO);
        time.advanceMillis(7_000);
        assertEquals(members.peerAddresses().keySet(), Set.of("b"));
    }

    private boolean isActive() {
        return members.isActive(Duration.ofMillis(100));
    }

    @Test
    public void entryBecomesInactiveBeforeItsRecordExpiresForOthers() {
        assertFalse(isActive());
        members.onPut(
                "self", members.ownRecord("10.0.0.1:7600", "north", List.of()).toByteArray());
        members.onOwnRecordWritten(time.monotonicNanos());
        members.onPut("b", RECORD);
        time.advanceMillis(5_900);
        assertTrue(isActive());
        time.advanceMillis(200);
        assertFalse(isActive());
        assertEquals(members.peerAddresses().keySet(), Set.of("b"));
    }

    @Test
    public void newEntryIsActiveOnceOthersKnowItOrAreInactive() {
        members.onOwnRecordWritten(time.monotonicNanos());
        time.advanceMillis(4_200);
        assertFalse(isActive());
        time.advanceMillis(100);
        assertTrue(isActive());
    }

    @Test
    public void restartedEntryIsActiveAtOnceWhileItsOldRecordIsValid() {
        members.onPut(
                "self", members.ownRecord("10.0.0.1:7600", "north", List.of()).toByteArray());
        time.advanceMillis(4_900);
        EntryMembers restarted = new EntryMembers("self", time, p -> {});
        restarted.onPut(
                "self", members.ownRecord("10.0.0.1:7600", "north", List.of()).toByteArray());
        restarted.onOwnRecordWritten(time.monotonicNanos());
        assertTrue(restarted.isActive(Duration.ZERO));
    }

    @Test
    public void restartedEntryWaitsLikeANewOneWhenItsOldRecordIsTooOld() {
        byte[] old = members.ownRecord("10.0.0.1:7600", "north", List.of()).toByteArray();
        time.advanceMillis(5_100);
        EntryMembers restarted = new EntryMembers("self", time, p -> {});
        restarted.onPut("self", old);
        restarted.onOwnRecordWritten(time.monotonicNanos());
        assertFalse(restarted.isActive(Duration.ZERO));
    }

    @Test
    public void entryWithAnOldReadOfTheRecordsIsNotActive() {
        members.onPut(
                "self", members.ownRecord("10.0.0.1:7600", "north", List.of()).toByteArray());
        members.onOwnRecordWritten(time.monotonicNanos());
        assertFalse(members.isActive(Duration.ofMillis(4_001)));
        assertTrue(members.isActive(Duration.ofMillis(3_999)));
    }

    /**
     * Guards against two homes of an account: if two entries' views differ, the old home must become inactive before
     * the new one is active.
     */
    @Test
    public void entryCutOffFromTheStoreWaitsAgainBeforeItIsActive() {
        members.onPut(
                "self", members.ownRecord("10.0.0.1:7600", "north", List.of()).toByteArray());
        members.onOwnRecordWritten(time.monotonicNanos());
        time.advanceMillis(8_000);
        members.onOwnRecordWritten(time.monotonicNanos());
        members.onPut("b", RECORD);
        members.onPut("b", RECORD);
        members.onPut("b", RECORD);
        time.advanceMillis(200);
        assertFalse(isActive());
        time.advanceMillis(4_100);
        assertTrue(isActive());
    }

    @Test
    public void entryIsActiveAtOnceAfterAStoreOutageForAllEntries() {
        members.onPut(
                "self", members.ownRecord("10.0.0.1:7600", "north", List.of()).toByteArray());
        members.onOwnRecordWritten(time.monotonicNanos());
        time.advanceMillis(2_400);
        members.onPut("b", RECORD);
        time.advanceMillis(5_600);
        members.onOwnRecordWritten(time.monotonicNanos());
        members.onPut("b", RECORD);
        time.advanceMillis(200);
        assertTrue(isActive(), "other entries renewed their records right before and right after the outage");
    }

    @Test
    public void malformedRecordChangesNothing() {
        members.onPut("b", RECORD);
        members.onPut("b", "\u00ff\u00ff not a record".getBytes(StandardCharsets.ISO_8859_1));
        assertEquals(members.peerAddresses(), Map.of("b", "10.0.0.2:7600"));
    }

    // Guards against an entry that starts on a VM, or beside others, without knowing which prompt parts are deadly.
    @Test
    public void quarantinesAreTakenFromRecordsOfOthersAndOfTheEarlierProcess() {
        List<String> taken = new ArrayList<>();
        EntryMembers started = new EntryMembers("self", time, parts -> parts.forEach(p -> taken.add(p.getPart())));
        started.onPut("self", recordWithQuarantine("own"));
        started.onPut("b", recordWithQuarantine("other"));
        started.onOwnRecordWritten(time.monotonicNanos());
        started.onPut("self", recordWithQuarantine("written by this process"));
        assertEquals(taken, List.of("own", "other"));
    }

    private byte[] recordWithQuarantine(String part) {
        return members.ownRecord(
                        "10.0.0.1:7600",
                        "north",
                        List.of(QuarantinedPart.newBuilder().setPart(part).build()))
                .toByteArray();
    }

    /** Guards against a record without an address that takes parts of budgets and reads which nobody answers. */
    @Test
    public void recordWithoutAnAddressNamesNoEntry() {
        byte[] record = EntryRecord.newBuilder().setDataCentre("here").build().toByteArray();
        members.onPut("b", RECORD);
        members.onPut("b", record);
        members.onPut("c", record);
        assertEquals(members.peerAddresses(), Map.of("b", "10.0.0.2:7600"));
    }

    /** Guards against an entry that is unknown because what else its record holds cannot be taken. */
    @Test
    public void entryIsKnownThoughItsQuarantinesCannotBeTaken() {
        EntryMembers failing = new EntryMembers("self", time, parts -> {
            throw new IllegalStateException("quarantines that cannot be taken");
        });
        expectThrows(IllegalStateException.class, () -> failing.onPut("b", RECORD));
        assertEquals(failing.peerAddresses(), Map.of("b", "10.0.0.2:7600"));
    }
}
