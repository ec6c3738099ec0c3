package io.parsleycleat.standin.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.standin.load.Arrival.Kind;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

public class WorkloadTest {
    @Test
    public void sameSeedGivesTheSameRequests() {
        assertEquals(
                Workload.draw(options(7)).arrivals(), Workload.draw(options(7)).arrivals());
        assertNotEquals(
                Workload.draw(options(7)).arrivals(), Workload.draw(options(8)).arrivals());
    }

    @Test
    public void offeredTokensAreWhatTheRatesAreWorkedOutFrom() {
        LoadOptions options = options(3);
        double tokens = Workload.draw(options).arrivals().stream()
                .filter(a -> a.kind() == Kind.COMPLETION && a.account().overload() <= 1)
                .mapToDouble(ReferenceBudget::cost)
                .sum();
        double behavedShare = 0.92;
        double expected = Workload.offeredTokensPerSecond(options) * options.totalSeconds() * behavedShare;
        assertEquals(tokens / expected, 1, 0.15);
    }

    @Test
    public void popularityIsSkewedAndShifts() {
        Map<String, Long> early = counts(0, 30);
        Map<String, Long> late = counts(570, 600);
        String first = top(early);
        assertTrue(early.get(first) > early.values().stream().mapToLong(c -> c).sum() / 5);
        assertNotEquals(top(late), first);
    }

    @Test
    public void orderKeysAreUuidsOfVersionSevenWithTheirTime() {
        UUID key = UuidV7.create(1_700_000_000_123L, new SplittableRandom(1));
        assertEquals(key.version(), 7);
        assertEquals(key.variant(), 2);
        assertEquals(key.getMostSignificantBits() >>> 16, 1_700_000_000_123L);
    }

    private static Map<String, Long> counts(int fromSecond, int toSecond) {
        return Workload.draw(options(1)).arrivals().stream()
                .filter(a -> a.atNanos() / 1_000_000_000L >= fromSecond && a.atNanos() / 1_000_000_000L < toSecond)
                .filter(a -> a.account().id().equals("large-1") && a.kind() == Kind.COMPLETION)
                .collect(Collectors.groupingBy(Arrival::adapter, Collectors.counting()));
    }

    private static String top(Map<String, Long> counts) {
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    static LoadOptions options(long seed) {
        return new LoadOptions(Deployment.MEKDES, seed, 2, 3_000, 8, 16, 100, 500, 2, 1.5, 30, 1, "PROBING", "FAIR");
    }
}
