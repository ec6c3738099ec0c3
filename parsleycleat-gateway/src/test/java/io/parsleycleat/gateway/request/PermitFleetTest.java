package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Counts what reaches a limited upstream of a plain service from fleets of different sizes. */
public class PermitFleetTest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int SECOND_STEPS = 1_000 / PermitFleet.STEP_MILLIS;
    private static final int SEEDS = 150;
    private static final Duration MAX_WAIT = Duration.ofMillis(750);
    /** Demand in multiples of the limit. */
    private static final double DEMAND = 6;

    private static final double MIN_DEMAND_PER_SECOND = 20;

    @DataProvider
    public Object[][] fleets() {
        return IntStream.of(5, 50, 350)
                .boxed()
                .flatMap(size -> List.of(0.3, 1.0, 1.4, 8.0, 40.0).stream().map(l -> new Object[] {size, l}))
                .toArray(Object[][]::new);
    }

    private static double bound(double limit) {
        return 1.5 * limit * 4 + 5;
    }

    /** Gives each entry its part of a demand that arrives at random. */
    private static void generateDemand(PermitFleet fleet, double perSecond) {
        double perStep = perSecond / SECOND_STEPS;
        int count = (int) perStep + (fleet.random.nextDouble() < perStep % 1 ? 1 : 0);
        IntStream.range(0, count)
                .mapToObj(i -> fleet.entries[fleet.random.nextInt(fleet.entries.length)])
                .forEach(e -> e.handleRequest(fleet.random.nextInt(3), MAX_WAIT, () -> {}));
    }

    /**
     * Guards against parts of a limit given out in advance, which are nothing or too much for small limits, and against
     * costs that grow with the fleet.
     */
    @Test(dataProvider = "fleets")
    public void limitIsKeptFromTheFirstSecondsAndUsed(int size, double limit) {
        PermitFleet fleet = new PermitFleet(size, 1, 0);
        double demand = Math.max(MIN_DEMAND_PER_SECOND, DEMAND * limit);
        fleet.run(10 * SECOND_STEPS, s -> generateDemand(fleet, demand));
        fleet.takeMostCountedInWindow();
        fleet.takeTotalArrived();
        fleet.limit = new RequestLimit(limit);
        fleet.run(SECOND_STEPS, s -> generateDemand(fleet, demand));
        fleet.takeTotalArrived();
        fleet.messageCount = 0;
        int seconds = 60;
        fleet.run(seconds * SECOND_STEPS, s -> generateDemand(fleet, demand));
        int mostFromAll = fleet.mostArrivedInWindow();
        int arrived = fleet.takeTotalArrived();
        double used = arrived / (limit * seconds);
        double messages = (double) fleet.messageCount / seconds;
        logger.atInfo().log(
                "%d entries, limit %.1f, demand %.0f a second: %.2f of the limit used, most in 4 s %d of %.0f, %.2f"
                        + " messages a second and entry",
                size, limit, demand, used, mostFromAll, bound(limit), messages / size);
        assertTrue(fleet.takeMostCountedInWindow() <= bound(limit));
        assertTrue(mostFromAll <= bound(limit), mostFromAll + " in 4 s from all entries");
        assertTrue(used >= 0.9, "share of the limit used: " + used);
        assertTrue(arrived <= limit * seconds * 1.05 + 2, arrived + " requests in " + seconds + " s");
        assertTrue(messages <= 4 * demand, messages + " messages a second");
    }

    /** Guards against less urgent requests that take the turns of more urgent ones at a limited upstream. */
    @Test
    public void urgentRequestsGetTheirTurnFirst() {
        PermitFleet fleet = new PermitFleet(5, 1, 0);
        fleet.limit = new RequestLimit(2);
        int[] sent = new int[2];
        SplittableRandom random = new SplittableRandom(3);
        fleet.run(120 * SECOND_STEPS, s -> {
            if (s % 5 == 0) {
                int priority = s % 60 == 0 ? 0 : 1;
                fleet.entries[random.nextInt(5)].handleRequest(priority, MAX_WAIT, () -> sent[priority]++);
            }
        });
        assertTrue(sent[0] >= 0.9 * 40, sent[0] + " of 40 urgent requests sent");
        assertTrue(sent[1] >= 100, sent[1] + " other requests sent");
    }

    @Test
    public void endOfTheLimitIsKnownEverywhereOnceItIsSeen() {
        PermitFleet fleet = new PermitFleet(50, 1, 0);
        fleet.limit = new RequestLimit(1);
        fleet.run(20 * SECOND_STEPS, s -> generateDemand(fleet, 40));
        assertTrue(Arrays.stream(fleet.entries).allMatch(PermitFleet.Entry::isLimited));
        fleet.limit = null;
        fleet.run(20 * SECOND_STEPS, s -> generateDemand(fleet, 40));
        assertEquals(
                Arrays.stream(fleet.entries)
                        .filter(PermitFleet.Entry::isLimited)
                        .count(),
                0);
        fleet.takeTotalArrived();
        fleet.run(10 * SECOND_STEPS, s -> generateDemand(fleet, 40));
        assertEquals(fleet.takeTotalArrived(), 400);
    }

    /** Guards against a limit that is left idle for long because the entry that grants permits is gone or unsure. */
    @Test
    public void deputyGrantsWhileTheHomeDoesNot() {
        for (boolean isKilled : new boolean[] {true, false}) {
            PermitFleet fleet = new PermitFleet(5, 1, 0);
            fleet.limit = new RequestLimit(4);
            fleet.run(10 * SECOND_STEPS, s -> generateDemand(fleet, 40));
            fleet.takeTotalArrived();
            fleet.home().down = isKilled;
            fleet.home().confirmed = false;
            fleet.run(7 * SECOND_STEPS, s -> generateDemand(fleet, 40));
            double used = fleet.takeTotalArrived() / (4.0 * 7);
            assertTrue(used >= 0.3 && used <= 0.6, "share of the limit used: " + used);
        }
    }

    /**
     * Guards against a limit that is exceeded after losses: messages are lost, late and doubled; entries are killed,
     * restarted, cut off and unsure of their membership; the limit changes, ends and returns; the upstream starts anew.
     */
    @Test
    public void noScheduleOfFaultsExceedsTheLimit() {
        List<String> violations = IntStream.range(0, SEEDS)
                .mapToObj(PermitFleetTest::runSchedule)
                .filter(v -> !v.isEmpty())
                .toList();
        assertEquals(String.join("\n", violations), "");
    }

    private static String runSchedule(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PermitFleet fleet = new PermitFleet(random.nextInt(2, 30), seed, 0.05);
        double lowest = List.of(0.3, 1.0, 1.4, 3.0, 10.0).get(random.nextInt(5));
        for (int phase = 0; phase < 6; phase++) {
            double limit = lowest * (1 + random.nextInt(3));
            changeUpstream(fleet, random, limit);
            fleet.run(4 * SECOND_STEPS, s -> generateDemand(fleet, Math.max(MIN_DEMAND_PER_SECOND, DEMAND * limit)));
            fleet.takeMostCountedInWindow();
            fleet.run(12 * SECOND_STEPS, s -> {
                injectFault(fleet, random);
                generateDemand(fleet, Math.max(MIN_DEMAND_PER_SECOND, DEMAND * limit));
            });
            int most = fleet.takeMostCountedInWindow();
            if (fleet.limit != null && most > bound(limit)) {
                return "seed %d, phase %d: %d requests in 4 s, %.0f allowed".formatted(seed, phase, most, bound(limit));
            }
        }
        return "";
    }

    private static void changeUpstream(PermitFleet fleet, SplittableRandom random, double limit) {
        fleet.limit = random.nextInt(5) == 0 ? null : new RequestLimit(limit);
        if (random.nextInt(6) == 0) {
            fleet.restartUpstream();
        }
    }

    private static void injectFault(PermitFleet fleet, SplittableRandom random) {
        PermitFleet.Entry entry = fleet.entries[random.nextInt(fleet.entries.length)];
        switch (random.nextInt(200)) {
            case 0 -> entry.down = true;
            case 1 -> entry.restart();
            case 2 -> entry.cutOff = true;
            case 3, 4 -> entry.cutOff = false;
            case 5 -> entry.confirmed = false;
            case 6, 7 -> entry.confirmed = true;
            default -> {
                // Most steps are without a fault.
            }
        }
        fleet.updateMembers();
    }
}
