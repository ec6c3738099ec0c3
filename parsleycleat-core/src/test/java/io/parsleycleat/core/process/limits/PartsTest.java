package io.parsleycleat.core.process.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.membership.Epoch;
import io.parsleycleat.wire.escrow.EpochMember;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class PartsTest {
    static EpochMember member(int i, int regions) {
        return EpochMember.newBuilder()
                .setVmName("entry-" + i)
                .setRegion("region-" + i % regions)
                .setDataCentre("dc-" + i % 5)
                .setPeerAddress("127.0.0.1:" + (1000 + i))
                .build();
    }

    static Epoch epoch(long number, int size, int regions) {
        return new Epoch(
                number,
                IntStream.range(0, size).mapToObj(i -> member(i, regions)).toList());
    }

    @Test
    public void everyRegionHasAHome() {
        Epoch epoch = epoch(1, 20, 2);
        for (int i = 0; i < 200; i++) {
            List<EpochMember> owners = Parts.owners("account-" + i, epoch);
            assertEquals(owners.stream().distinct().count(), 4);
            assertEquals(owners.stream().map(EpochMember::getRegion).distinct().count(), 2);
        }
    }

    @Test
    public void partsSpreadEvenly() {
        Epoch epoch = epoch(1, 20, 2);
        var counts = IntStream.range(0, 5000)
                .boxed()
                .flatMap(i -> Parts.owners("account-" + i, epoch).stream())
                .collect(Collectors.groupingBy(EpochMember::getVmName, Collectors.counting()));
        assertTrue(counts.values().stream().allMatch(n -> n > 800 && n < 1200), counts.toString());
    }

    @Test
    public void aLostEntryMovesFewOtherParts() {
        Epoch before = epoch(1, 20, 2);
        Epoch after = new Epoch(2, before.members().subList(1, 20));
        String lost = before.members().get(0).getVmName();
        long moved = 0;
        for (int i = 0; i < 1000; i++) {
            List<EpochMember> old = Parts.owners("account-" + i, before);
            List<EpochMember> now = Parts.owners("account-" + i, after);
            moved += IntStream.range(0, 4)
                    .filter(p -> !old.get(p).getVmName().equals(lost))
                    .filter(p -> !old.get(p).equals(now.get(p)))
                    .count();
        }
        assertTrue(moved < 4000 / 40, moved + " parts moved between entries that stayed");
    }
}
