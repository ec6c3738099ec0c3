package io.parsleycleat.core.version.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.ConfigurationRecord;
import io.parsleycleat.wire.configuration.Delta;
import java.util.List;
import java.util.TreeMap;
import org.testng.annotations.Test;

public class StateHolderTest {
    private static final ConfigurationState ONE =
            ConfigurationState.EMPTY.apply(0, Changes.record(Changes.account("c1", "a", 0, 10)));
    private static final ConfigurationState TWO = ONE.apply(1, Changes.record(Changes.account("c2", "b", 0, 10)));

    private static Delta delta(long from, AuditEntry entry) {
        return Delta.newBuilder()
                .setFromOffset(from)
                .addEntries(entry)
                .setNextOffset(entry.getOffset() + 1)
                .build();
    }

    @Test
    public void anOlderSnapshotIsNotTakenOver() {
        StateHolder holder = new StateHolder();
        holder.install(TWO.toSnapshot());
        holder.install(ONE.toSnapshot());
        assertEquals(holder.state().version(), 2);
        assertTrue(holder.known().account("b").isPresent());
    }

    @Test
    public void changesAfterAGapAreNotFolded() {
        StateHolder holder = new StateHolder();
        holder.apply(delta(1, TWO.result("c2").orElseThrow()));
        assertEquals(holder.state().version(), 0);
        holder.apply(delta(0, ONE.result("c1").orElseThrow()));
        holder.apply(delta(1, TWO.result("c2").orElseThrow()));
        assertEquals(holder.state().toSnapshot(), TWO.toSnapshot());
    }

    @Test
    public void recordsThatWereFoldedChangeNothing() {
        StateHolder holder = new StateHolder();
        holder.install(TWO.toSnapshot());
        TreeMap<Long, ConfigurationRecord> old = new TreeMap<>();
        old.put(0L, Changes.record(Changes.account("other", "c", 0, 10)));
        holder.apply(old);
        assertEquals(holder.state().toSnapshot(), TWO.toSnapshot());
    }

    @Test
    public void aRecordedWithdrawalIsNoLongerKeptBesideTheState() {
        StateHolder holder = new StateHolder();
        var withdrawal = Changes.withdrawal("w1", "k1");
        assertTrue(holder.withdraw(List.of(withdrawal)));
        assertTrue(!holder.withdraw(List.of(withdrawal)), "known already");
        holder.install(
                ConfigurationState.EMPTY.apply(0, Changes.record(withdrawal)).toSnapshot());
        assertTrue(holder.known().withdrawals().isEmpty());
        assertTrue(holder.known().isWithdrawn("k1"));
    }
}
