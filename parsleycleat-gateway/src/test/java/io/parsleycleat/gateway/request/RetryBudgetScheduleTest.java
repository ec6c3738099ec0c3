package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.request.limits.RetryShare;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class RetryBudgetScheduleTest {
    private static final int ENTRIES = 5;
    private static final double RATE = 100;
    private static final RetryShare.Bounds BOUNDS = new RetryShare.Bounds(0.2, 56, Duration.ofSeconds(10));
    private static final int SEEDS = 300;
    private static final int PHASES = 14;

    private static RetryFleet startedFleet(long seed) {
        RetryFleet fleet = new RetryFleet(BOUNDS, ENTRIES, seed);
        fleet.run(Duration.ofSeconds(10), RATE, 0, 0);
        return fleet;
    }

    private static void killAll(RetryFleet fleet) {
        IntStream.range(0, ENTRIES).forEach(fleet::kill);
    }

    private static void startAll(RetryFleet fleet, long firstReadMillis) {
        IntStream.range(0, ENTRIES).forEach(e -> fleet.start(e, firstReadMillis));
    }

    private static void assertWithinBudget(RetryFleet fleet) {
        assertTrue(fleet.repeats() > 0);
        double excess = fleet.worstExcess();
        assertTrue(excess <= 0, "%.0f repeats too many of %d".formatted(excess, fleet.repeats()));
    }

    /** Guards against entries that repeat too much together although none of them starts, stops or is cut off. */
    @Test
    public void entriesTogetherKeepTheBudgetInCalm() {
        RetryFleet calm = startedFleet(1);
        calm.run(Duration.ofSeconds(15), RATE, 1, 0);
        assertWithinBudget(calm);
    }

    /** Guards against a restart that gives an entry its whole share again within the window. */
    @Test
    public void restartOfAllEntriesGivesNoSecondShare() {
        RetryFleet fleet = startedFleet(1);
        fleet.run(Duration.ofSeconds(2), RATE, 1, 0);
        killAll(fleet);
        startAll(fleet, 0);
        fleet.run(Duration.ofSeconds(12), RATE, 1, 0);
        assertWithinBudget(fleet);
    }

    /** Guards against shares that grow while others are away and are spent before these come back. */
    @Test
    public void sharesOfAbsentEntriesAreNotSpentTwice() {
        RetryFleet fleet = startedFleet(1);
        fleet.run(Duration.ofSeconds(2), RATE, 1, 0);
        IntStream.range(0, 3).forEach(fleet::kill);
        fleet.run(Duration.ofSeconds(9), RATE, 1, 0);
        startAll(fleet, 0);
        fleet.run(Duration.ofSeconds(10), RATE, 1, 0);
        assertWithinBudget(fleet);
    }

    /** Guards against entries that each take the shares of all before they have read the others' records. */
    @Test
    public void entryThatKnowsNoOtherYetDoesNotTakeAllShares() {
        RetryFleet fleet = new RetryFleet(BOUNDS, ENTRIES, 1);
        killAll(fleet);
        startAll(fleet, 9_000);
        fleet.run(Duration.ofSeconds(9), RATE / 10, 1, 0);
        assertWithinBudget(fleet);
    }

    /** Guards against repeats that are counted when they are decided but sent later, together with those of then. */
    @Test
    public void repeatsThatWaitForAnUpstreamCountWhenTheyAreSent() {
        RetryFleet fleet = startedFleet(1);
        fleet.run(Duration.ofSeconds(8), RATE, 1, 5_000);
        fleet.run(Duration.ofSeconds(10), RATE, 1, 0);
        assertWithinBudget(fleet);
    }

    /** Guards against an order of starts, kills, cuts and waits in which all entries together exceed the budget. */
    @Test
    public void anyScheduleKeepsTheBudgetOverAllEntries() {
        List<String> exceeded = IntStream.range(0, SEEDS)
                .mapToObj(RetryBudgetScheduleTest::play)
                .flatMap(Optional::stream)
                .toList();
        assertTrue(exceeded.isEmpty(), exceeded.size() + " of " + SEEDS + " schedules exceed it: " + exceeded);
    }

    /** Plays a schedule, and describes by how much it exceeds the budget, if it does. */
    private static Optional<String> play(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RetryFleet fleet = new RetryFleet(BOUNDS, ENTRIES, seed);
        for (int phase = 0; phase < PHASES; phase++) {
            change(fleet, random);
            double failing = random.nextInt(3) == 0 ? 0 : random.nextDouble();
            long searchMillis = random.nextInt(2) == 0 ? 0 : random.nextLong(4_000);
            double rate = RATE * (0.2 + 2 * random.nextDouble());
            fleet.run(Duration.ofMillis(500 + random.nextInt(4_000)), rate, failing, searchMillis);
        }
        double excess = fleet.worstExcess();
        return excess > 0
                ? Optional.of("seed %d by %.0f of %d".formatted(seed, excess, fleet.repeats()))
                : Optional.empty();
    }

    private static void change(RetryFleet fleet, SplittableRandom random) {
        for (int entry = 0; entry < ENTRIES; entry++) {
            int index = entry;
            switch (random.nextInt(6)) {
                case 0 -> fleet.kill(index);
                case 1, 2 -> fleet.start(index, random.nextInt(3) == 0 ? random.nextLong(6_000) : 0);
                case 3 -> fleet.setCutOff(index, true);
                default -> fleet.setCutOff(index, false);
            }
        }
    }
}
