package io.parsleycleat.core.version.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.ParsleycleatException;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.FakeFleet.Node;
import io.parsleycleat.core.version.configuration.keys.CutOffPolicy;
import io.parsleycleat.core.version.configuration.keys.KeyFormat;
import io.parsleycleat.core.version.configuration.keys.KeyGate;
import io.parsleycleat.core.version.configuration.keys.Keys;
import io.parsleycleat.wire.configuration.AuditEntry;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class KeyWithdrawalTest {
    private static final KeyFormat KEY = Keys.newKey("k1");
    private static final long SECONDS = 1_000;

    private FakeFleet fleet;

    @BeforeMethod
    public void startFleet() {
        fleet = FakeFleet.of(StoreSettings.DEFAULTS, 3, 4);
        assertTrue(fleet.time.advanceUntil(fleet::allReady, 20 * SECONDS));
        Node node = fleet.node("vm-0-0");
        fleet.time.join(node.store().append(Changes.account("c1", "a", 0, 10)), 10 * SECONDS);
        fleet.time.join(node.store().append(Changes.key("c2", "k1", "a", Keys.hash(KEY))), 10 * SECONDS);
        assertTrue(fleet.time.advanceUntil(() -> fleet.allAt(2), 10 * SECONDS));
    }

    private static ResultCode verdict(Node node) {
        return verdict(node, CutOffPolicy.REFUSE_ISOLATED_GROUP);
    }

    private static ResultCode verdict(Node node, CutOffPolicy policy) {
        KeyGate gate = new KeyGate(node.store(), node.monitor(), policy);
        ResultCode atEntry = gate.check(KEY.text()).fold(Refusal::code, k -> ResultCode.DONE);
        ResultCode atSide = gate.refusal(KEY.id()).map(Refusal::code).orElse(ResultCode.DONE);
        assertEquals(atSide, atEntry);
        return atEntry;
    }

    private Set<ResultCode> verdicts() {
        return fleet.all().stream().map(n -> verdict(n)).collect(Collectors.toSet());
    }

    @Test
    public void aWithdrawalIsInForceEverywhereAtOnce() {
        assertEquals(verdicts(), Set.of(ResultCode.DONE));
        CompletableFuture<AuditEntry> asked = fleet.node("vm-1-1").store().withdraw(Changes.withdrawal("w1", "k1"));
        assertEquals(verdict(fleet.node("vm-1-1")), ResultCode.KEY_WITHDRAWN);
        fleet.time.advance(50);
        assertEquals(verdicts(), Set.of(ResultCode.KEY_WITHDRAWN));
        assertTrue(asked.isDone() && !asked.isCompletedExceptionally());
    }

    @Test
    public void aWithdrawalDuringALogOutageIsInForceAndRecordedLater() {
        fleet.log.setOut(true);
        CompletableFuture<AuditEntry> asked = fleet.node("vm-1-1").store().withdraw(Changes.withdrawal("w1", "k1"));
        fleet.time.advance(100);
        assertEquals(verdicts(), Set.of(ResultCode.KEY_WITHDRAWN));
        fleet.time.advance(5 * SECONDS);
        assertEquals(code(asked), ResultCode.CHANGE_NOT_RECORDED);
        fleet.log.setOut(false);
        assertTrue(fleet.time.advanceUntil(
                () -> fleet.node("vm-2-2").store().state().isWithdrawn("k1"), 20 * SECONDS));
    }

    @Test
    public void aWithdrawalThatNobodyElseHasIsNotSaidToBeInForce() {
        fleet.log.setOut(true);
        fleet.sever("vm-1-1");
        CompletableFuture<AuditEntry> asked = fleet.node("vm-1-1").store().withdraw(Changes.withdrawal("w1", "k1"));
        fleet.time.advance(5 * SECONDS);
        assertEquals(code(asked), ResultCode.CHANGE_UNKNOWN);
    }

    private static ResultCode code(CompletableFuture<AuditEntry> failed) {
        return failed.handle((entry, failure) -> ((ParsleycleatException) Failures.unwrap(failure)).code())
                .join();
    }

    @Test
    public void aWithdrawalIsRecordedThoughTheProcessThatTookItIsGone() {
        fleet.log.setOut(true);
        fleet.node("vm-1-1").store().withdraw(Changes.withdrawal("w1", "k1"));
        fleet.time.advance(100);
        fleet.remove("vm-1-1");
        fleet.time.advance(5 * SECONDS);
        fleet.log.setOut(false);
        assertTrue(fleet.time.advanceUntil(() -> fleet.allAt(3), 60 * SECONDS));
        assertTrue(fleet.all().stream().allMatch(n -> n.store().state().isWithdrawn("k1")));
        assertTrue(fleet.log.end() <= 5, "appends " + (fleet.log.end() - 2));
    }

    @Test
    public void aFreshProcessLearnsOfAnUnrecordedWithdrawal() {
        fleet.log.setOut(true);
        fleet.node("vm-1-1").store().withdraw(Changes.withdrawal("w1", "k1"));
        fleet.time.advance(100);
        Node fresh = fleet.add("vm-new", "dc-0");
        assertEquals(verdict(fresh), ResultCode.NOT_READY);
        assertTrue(fleet.time.advanceUntil(() -> fresh.store().isReady(), 20 * SECONDS));
        assertEquals(verdict(fresh), ResultCode.KEY_WITHDRAWN);
    }

    @Test
    public void aLogOutageAloneRefusesNoKey() {
        fleet.log.setOut(true);
        for (int i = 0; i < 120; i++) {
            fleet.time.advance(SECONDS);
            assertEquals(verdicts(), Set.of(ResultCode.DONE), "after " + i + " s");
        }
    }

    @Test
    public void aQuietFleetRefusesNoKey() {
        for (int i = 0; i < 120; i++) {
            fleet.time.advance(SECONDS);
            assertEquals(verdicts(), Set.of(ResultCode.DONE), "after " + i + " s");
        }
    }

    @Test
    public void aProcessCutOffFromTheLogOnlyLearnsFromOthers() {
        fleet.log.cutOff("vm-0-3");
        fleet.node("vm-1-1").store().withdraw(Changes.withdrawal("w1", "k1"));
        fleet.time.advance(2 * SECONDS);
        assertEquals(verdict(fleet.node("vm-0-3")), ResultCode.KEY_WITHDRAWN);
    }

    @Test
    public void aProcessCutOffFromItsPeersOnlyLearnsFromTheLog() {
        fleet.sever("vm-0-3");
        fleet.node("vm-1-1").store().withdraw(Changes.withdrawal("w1", "k1"));
        fleet.time.advance(20 * SECONDS);
        assertEquals(verdict(fleet.node("vm-0-3")), ResultCode.KEY_WITHDRAWN);
    }

    @Test
    public void aProcessCutOffFromEverythingRefusesKeysAfterTheBound() {
        fleet.log.cutOff("vm-0-3");
        fleet.sever("vm-0-3");
        fleet.setVmListOut(true);
        fleet.node("vm-1-1").store().withdraw(Changes.withdrawal("w1", "k1"));
        fleet.time.advance(FakeFleet.BOUND.toMillis() + 5 * SECONDS);
        List.of(CutOffPolicy.values())
                .forEach(policy -> assertEquals(verdict(fleet.node("vm-0-3"), policy), ResultCode.CUT_OFF));
        fleet.heal("vm-0-3");
        fleet.time.advance(40 * SECONDS);
        assertEquals(verdict(fleet.node("vm-0-3")), ResultCode.KEY_WITHDRAWN);
    }

    @Test
    public void anIsolatedDataCentreRefusesKeysUnlessItsOperatorsChooseOtherwise() {
        fleet.log.setOut(true);
        fleet.severDataCentre("dc-0");
        fleet.node("vm-1-1").store().withdraw(Changes.withdrawal("w1", "k1"));
        fleet.time.advance(FakeFleet.BOUND.toMillis() + 5 * SECONDS);
        Node inside = fleet.node("vm-0-1");
        assertEquals(verdict(inside), ResultCode.CUT_OFF);
        assertEquals(verdict(inside, CutOffPolicy.REFUSE_CUT_OFF_PROCESS), ResultCode.DONE);
        assertEquals(verdict(fleet.node("vm-2-1")), ResultCode.KEY_WITHDRAWN);
        assertFalse(inside.store().current().isWithdrawn("k1"));
    }
}
