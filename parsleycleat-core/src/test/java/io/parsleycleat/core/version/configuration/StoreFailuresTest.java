package io.parsleycleat.core.version.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.version.configuration.FakeFleet.Node;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ChangeResult;
import io.parsleycleat.wire.configuration.ConfigurationRecord;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

public class StoreFailuresTest {
    private static final long LIMIT_MILLIS = 20_000;
    private static final Duration RETENTION = Duration.ofHours(2);
    private static final StoreSettings SETTINGS = StoreSettings.DEFAULTS.withLogRetention(RETENTION);

    private FakeFleet current;

    private FakeFleet fleet(int dataCentres, int perDataCentre) {
        FakeFleet fleet = FakeFleet.of(SETTINGS, dataCentres, perDataCentre);
        current = fleet;
        assertTrue(fleet.time.advanceUntil(fleet::allReady, LIMIT_MILLIS));
        return fleet;
    }

    private AuditEntry change(Node node, Change change) {
        AuditEntry entry = current.time.join(node.store().append(change), LIMIT_MILLIS);
        assertTrue(entry != null, "no result of " + change.getChangeId());
        return entry;
    }

    private static boolean knows(Node node, String account) {
        return node.store().current().account(account).isPresent();
    }

    @Test
    public void aLostAnswerIsRepeatedAndCountsOnce() {
        FakeFleet fleet = fleet(1, 3);
        fleet.log.loseAnswers(2);
        AuditEntry entry = change(fleet.node("vm-0-0"), Changes.account("c1", "a", 0, 10));
        fleet.time.advance(5_000);
        assertEquals(entry.getResult(), ChangeResult.CHANGE_RESULT_ACCEPTED);
        assertEquals(entry.getOffset(), 0);
        assertEquals(
                change(fleet.node("vm-0-1"), Changes.account("c1", "a", 0, 10)).getOffset(), 0);
    }

    @Test
    public void anAppendThatFailsBeforeItsEffectIsRepeated() {
        FakeFleet fleet = fleet(1, 2);
        fleet.log.setOut(true);
        CompletableFuture<AuditEntry> asked = fleet.node("vm-0-0").store().append(Changes.account("c1", "a", 0, 10));
        fleet.time.advance(1_500);
        assertFalse(asked.isDone());
        fleet.log.setOut(false);
        assertEquals(fleet.time.join(asked, LIMIT_MILLIS).getResult(), ChangeResult.CHANGE_RESULT_ACCEPTED);
    }

    @Test
    public void aChangeThatIsNotReadBackIsUnknown() {
        FakeFleet fleet = fleet(1, 2);
        fleet.log.setOut(true);
        CompletableFuture<AuditEntry> asked = fleet.node("vm-0-0").store().append(Changes.account("c1", "a", 0, 10));
        fleet.time.advance(LIMIT_MILLIS);
        assertTrue(asked.isCompletedExceptionally());
        assertFalse(knows(fleet.node("vm-0-0"), "a"));
    }

    @Test
    public void twoOperatorsRacingFromTwoEntriesGetOneConflict() {
        FakeFleet fleet = fleet(2, 3);
        change(fleet.node("vm-0-0"), Changes.account("c1", "a", 0, 10));
        CompletableFuture<AuditEntry> one = fleet.node("vm-0-1").store().append(Changes.account("c2", "a", 1, 20));
        CompletableFuture<AuditEntry> two = fleet.node("vm-1-2").store().append(Changes.account("c3", "a", 1, 30));
        List<ChangeResult> results = List.of(
                fleet.time.join(one, LIMIT_MILLIS).getResult(),
                fleet.time.join(two, LIMIT_MILLIS).getResult());
        assertEquals(results, List.of(ChangeResult.CHANGE_RESULT_ACCEPTED, ChangeResult.CHANGE_RESULT_CONFLICT));
    }

    @Test
    public void aChangeReachesEveryProcessWhileFewReadTheLog() {
        FakeFleet fleet = fleet(3, 12);
        fleet.time.advance(70_000);
        int reads = fleet.log.reads();
        long frames = fleet.frames;
        fleet.time.advance(60_000);
        int tailers = 3 * SETTINGS.tailersPerDataCentre();
        assertTrue(fleet.log.reads() - reads <= tailers * 60 / 2, "reads " + (fleet.log.reads() - reads));
        assertTrue(fleet.frames - frames <= 2 * 36 * 60 / 2, "frames " + (fleet.frames - frames));
        AuditEntry entry = change(fleet.node("vm-2-5"), Changes.account("c1", "a", 0, 10));
        assertTrue(fleet.time.advanceUntil(() -> fleet.allAt(entry.getOffset() + 1), 200), fleet.versions() + "");
    }

    @Test
    public void aLostTailerIsReplacedAtOnce() {
        FakeFleet fleet = fleet(1, 6);
        TailerRanking ranking =
                new TailerRanking(fleet.all().stream().map(Node::vm).toList(), 2);
        ranking.tailers("dc-0").forEach(vm -> fleet.sever(vm.name()));
        List<Node> rest = fleet.all().stream()
                .filter(n -> !ranking.isTailer("dc-0", n.vm().name()))
                .toList();
        change(rest.get(0), Changes.account("c1", "a", 0, 10));
        assertTrue(fleet.time.advanceUntil(() -> rest.stream().allMatch(n -> knows(n, "a")), 15_000));
    }

    @Test
    public void aProcessThatHearsOfAHigherVersionAsksAtOnce() {
        FakeFleet fleet = fleet(2, 6);
        fleet.time.advance(70_000);
        Node behind = fleet.all().stream()
                .filter(n -> !new TailerRanking(
                                fleet.all().stream().map(Node::vm).toList(), 2)
                        .isTailer(n.vm().dataCentre(), n.vm().name()))
                .findFirst()
                .orElseThrow();
        fleet.log.cutOff(behind.vm().name());
        fleet.sever(behind.vm().name());
        Node ahead = fleet.all().stream()
                .filter(n -> !n.vm().dataCentre().equals(behind.vm().dataCentre()))
                .findFirst()
                .orElseThrow();
        change(ahead, Changes.account("c1", "a", 0, 10));
        fleet.heal(behind.vm().name());
        behind.store().onPeerVersion(new NamedChannel(ahead.vm()), 1);
        assertTrue(fleet.time.advanceUntil(() -> knows(behind, "a"), 20));
    }

    @Test
    public void aFreshProcessTakesTheNewestStateOfSeveralWhileTheLogIsOut() {
        FakeFleet fleet = fleet(2, 3);
        change(fleet.node("vm-0-0"), Changes.account("c1", "a", 0, 10));
        fleet.time.advance(6_000);
        fleet.log.cutOff("vm-0-1");
        fleet.sever("vm-0-1");
        change(fleet.node("vm-0-0"), Changes.account("c2", "b", 0, 10));
        fleet.time.advance(6_000);
        fleet.log.setOut(true);
        fleet.heal("vm-0-1");
        Node fresh = fleet.add("vm-new", "dc-0");
        assertFalse(fresh.store().isReady());
        assertTrue(fleet.time.advanceUntil(() -> fresh.store().isReady(), LIMIT_MILLIS));
        assertTrue(knows(fresh, "b"), "version " + fresh.store().version());
    }

    @Test
    public void aFreshProcessWithNobodyToAskIsNotReady() {
        FakeFleet fleet = new FakeFleet(SETTINGS);
        fleet.log.setOut(true);
        Node one = fleet.add("vm-1", "dc-0");
        Node two = fleet.add("vm-2", "dc-0");
        fleet.time.advance(60_000);
        assertFalse(one.store().isReady() || two.store().isReady());
        fleet.log.setOut(false);
        assertTrue(fleet.time.advanceUntil(fleet::allReady, LIMIT_MILLIS));
    }

    @Test
    public void aFreshProcessBeforeATrimmedLogIsNotReadyAsIfEmpty() {
        FakeFleet fleet = fleet(1, 2);
        change(fleet.node("vm-0-0"), Changes.account("c1", "a", 0, 10));
        List.copyOf(fleet.nodes.keySet()).forEach(fleet::remove);
        fleet.log.trimTo(1);
        Node fresh = fleet.add("vm-new", "dc-0");
        fleet.time.advance(60_000);
        assertFalse(fresh.store().isReady());
    }

    @Test
    public void aSnapshotIsWrittenBeforeTheLogDropsARecord() {
        FakeFleet fleet = fleet(2, 2);
        change(fleet.node("vm-0-0"), Changes.account("c1", "a", 0, 10));
        fleet.time.advance(RETENTION.toMillis() * 9 / 10);
        assertTrue(fleet.log.end() > 1, "no snapshot");
        assertTrue(fleet.log.end() <= 3, "more than one snapshot: " + fleet.log.end());
        List.copyOf(fleet.nodes.keySet()).forEach(fleet::remove);
        fleet.log.trimTo(1);
        Node fresh = fleet.add("vm-new", "dc-0");
        assertTrue(fleet.time.advanceUntil(() -> fresh.store().isReady(), LIMIT_MILLIS));
        assertTrue(knows(fresh, "a"));
    }

    @Test
    public void aDamagedSnapshotIsPassedOver() {
        FakeFleet fleet = fleet(1, 2);
        change(fleet.node("vm-0-0"), Changes.account("c1", "a", 0, 10));
        fleet.time.advance(RETENTION.toMillis() * 9 / 10);
        long first = fleet.log.entries().get(1).offset();
        ConfigurationRecord.Builder damaged = parse(fleet.log.entries().get(1).value()).toBuilder();
        damaged.getSnapshotChunkBuilder().setData(ByteString.copyFromUtf8("damaged"));
        fleet.log.replace(first, damaged.build().toByteString());
        List.copyOf(fleet.nodes.keySet()).forEach(fleet::remove);
        fleet.log.trimTo(1);
        Node fresh = fleet.add("vm-new", "dc-0");
        fleet.time.advance(30_000);
        assertFalse(fresh.store().isReady());
    }

    @Test
    public void aSurvivorWritesASnapshotAtOnceWhenRetentionPassedInAnOutage() {
        FakeFleet fleet = fleet(1, 3);
        change(fleet.node("vm-0-0"), Changes.account("c1", "a", 0, 10));
        fleet.log.setOut(true);
        fleet.time.advance(RETENTION.toMillis() * 2);
        fleet.log.trimTo(1);
        fleet.log.setOut(false);
        assertTrue(fleet.time.advanceUntil(() -> fleet.log.end() > 1, 15_000), "no snapshot after the outage");
        fleet.time.advance(1_000);
        List.copyOf(fleet.nodes.keySet()).forEach(fleet::remove);
        Node fresh = fleet.add("vm-new", "dc-0");
        assertTrue(fleet.time.advanceUntil(() -> fresh.store().isReady(), LIMIT_MILLIS));
        assertTrue(knows(fresh, "a"));
    }

    @Test
    public void aReaderBelowTheTrimmedLogMovesOnBySnapshotAndNeverBack() {
        FakeFleet fleet = fleet(2, 2);
        change(fleet.node("vm-0-0"), Changes.account("c1", "a", 0, 10));
        fleet.time.advance(6_000);
        Node behind = fleet.node("vm-1-1");
        fleet.log.cutOff("vm-1-1");
        fleet.sever("vm-1-1");
        change(fleet.node("vm-0-0"), Changes.account("c2", "b", 0, 10));
        fleet.time.advance(RETENTION.toMillis() * 9 / 10);
        fleet.log.trimTo(2);
        assertTrue(knows(behind, "a") && !knows(behind, "b"));
        fleet.log.reconnect("vm-1-1");
        assertTrue(fleet.time.advanceUntil(() -> knows(behind, "b"), LIMIT_MILLIS));
        assertTrue(knows(behind, "a"));
    }

    @Test
    public void allProcessesAreReplacedOneAfterAnother() {
        FakeFleet fleet = fleet(2, 3);
        change(fleet.node("vm-0-0"), Changes.account("c1", "a", 0, 10));
        fleet.log.setOut(true);
        int round = 0;
        for (String name : List.copyOf(fleet.nodes.keySet())) {
            Node fresh = fleet.add("new-" + round++, fleet.node(name).vm().dataCentre());
            assertTrue(fleet.time.advanceUntil(() -> fresh.store().isReady(), LIMIT_MILLIS));
            fleet.remove(name);
            fleet.time.advance(3_000);
        }
        assertTrue(fleet.all().stream().allMatch(n -> knows(n, "a")));
    }

    @Test
    public void allProcessesAreReplacedAtOnceWhileTheLogIsUp() {
        FakeFleet fleet = fleet(2, 3);
        change(fleet.node("vm-0-0"), Changes.account("c1", "a", 0, 10));
        List.copyOf(fleet.nodes.keySet()).forEach(fleet::remove);
        fleet.add("new-0", "dc-0");
        fleet.add("new-1", "dc-1");
        assertTrue(fleet.time.advanceUntil(fleet::allReady, LIMIT_MILLIS));
        assertTrue(fleet.all().stream().allMatch(n -> knows(n, "a")));
    }

    private static ConfigurationRecord parse(ByteString value) {
        try {
            return ConfigurationRecord.parseFrom(value);
        } catch (com.google.protobuf.InvalidProtocolBufferException e) {
            throw new AssertionError(e);
        }
    }
}
