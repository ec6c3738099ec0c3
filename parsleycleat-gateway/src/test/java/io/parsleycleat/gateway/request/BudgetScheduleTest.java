package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.gateway.ManualScheduler;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.limits.AccountBudgets;
import io.parsleycleat.gateway.request.limits.BudgetHomes;
import io.parsleycleat.gateway.request.limits.BudgetPeers;
import io.parsleycleat.gateway.version.routes.Account;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Checks that five entries together never exceed the bound of an account in any window, over random schedules of
 * demand, lost responses of homes, network partitions, and kills of one entry or of all.
 */
public class BudgetScheduleTest {
    private static final int SEEDS = 200;
    private static final int ENTRIES = 5;
    private static final double RATE = 1_000;
    private static final double BURST = 2_000;
    private static final double SLACK = 1_400;
    private static final Account ACCOUNT = new Account("tailors", Set.of("k"), null, true, RATE, BURST, 10);

    private static final int STEP_MILLIS = 50;
    private static final int STEPS = 800;
    private static final int WINDOW_STEPS = 8_000 / STEP_MILLIS;
    private static final double BOUND = (RATE * 8 + BURST) * 1.1 + SLACK;
    /** Age of its record at which a partitioned entry no longer counts itself as a member. */
    private static final int OWN_MEMBERSHIP_LAPSE_STEPS = 6_000 / STEP_MILLIS;

    /** Age of an entry's record at which the other entries take over its part. */
    private static final int PEER_RECORD_LAPSE_STEPS = 7_500 / STEP_MILLIS;
    /** Time from the end of a partition until all others know the entry and it counts itself as a member again. */
    private static final int REJOIN_STEPS = 4_250 / STEP_MILLIS;

    @Test
    public void noWindowOfAnyScheduleExceedsTheBound() {
        List<String> violations = IntStream.range(0, SEEDS)
                .boxed()
                .flatMap(seed -> new Schedule(seed).run().stream().map(f -> "seed " + seed + ": " + f))
                .toList();
        assertEquals(String.join("\n", violations), "");
    }

    private static final class Schedule {
        private final SplittableRandom random;
        private final ManualTimeSource time = new ManualTimeSource();
        private final ManualScheduler scheduler = new ManualScheduler(time);
        private final AccountBudgets[] entries = new AccountBudgets[ENTRIES];
        private final BudgetHomes[] homes = new BudgetHomes[ENTRIES];
        private final int[] startCounts = new int[ENTRIES];
        private final int[] partitionedSince = new int[ENTRIES];
        private final int[] downUntil = new int[ENTRIES];
        private final int[] rejoinsAt = new int[ENTRIES];
        private final Deque<Double> window = new ArrayDeque<>();
        private final boolean heavyDemand;
        private int currentStep;
        private double admittedInWindow;
        private int lastLossOfAll = -WINDOW_STEPS;

        Schedule(int seed) {
            this.random = new SplittableRandom(seed);
            this.heavyDemand = random.nextBoolean();
            IntStream.range(0, ENTRIES).forEach(i -> start(i, 0));
        }

        List<String> run() {
            List<String> violations = new ArrayList<>();
            double total = 0;
            for (int step = 1; step <= STEPS; step++) {
                currentStep = step;
                time.advanceMillis(STEP_MILLIS);
                injectFaults(step);
                updateMembers(step);
                IntStream.range(0, ENTRIES).filter(i -> isUp(i, currentStep)).forEach(i -> entries[i].returnUnspent());
                double admitted = generateDemand(step);
                total += admitted;
                recordAdmitted(admitted);
                if (admittedInWindow > BOUND) {
                    violations.add(
                            "%.0f admitted in the window that ends with step %d".formatted(admittedInWindow, step));
                    break;
                }
            }
            if (total < RATE * STEPS * STEP_MILLIS / 1_000 / 4) {
                violations.add("only %.0f admitted of %d".formatted(total, (int) RATE * STEPS * STEP_MILLIS / 1_000));
            }
            return violations;
        }

        private void start(int entry, int step) {
            endPartition(entry, step);
            homes[entry] = new BudgetHomes(
                    name(entry),
                    new BudgetHomes.Slack(SLACK, Duration.ofSeconds(8)),
                    time,
                    () -> isMembershipConfirmed(entry));
            entries[entry] = new AccountBudgets(name(entry), homes[entry], new Peers(entry), time, scheduler);
            entries[entry].setAccounts(List.of(ACCOUNT));
            startCounts[entry]++;
            downUntil[entry] = step;
        }

        /** Ends a partition; an entry that others may have removed is a member again once all of them know it. */
        private void endPartition(int entry, int step) {
            if (isPartitioned(entry, step) && step - partitionedSince[entry] >= OWN_MEMBERSHIP_LAPSE_STEPS) {
                rejoinsAt[entry] = step + REJOIN_STEPS;
            }
            partitionedSince[entry] = Integer.MAX_VALUE;
        }

        private boolean isMembershipConfirmed(int entry) {
            boolean known = !isPartitioned(entry, currentStep)
                    || currentStep - partitionedSince[entry] < OWN_MEMBERSHIP_LAPSE_STEPS;
            return known && currentStep >= rejoinsAt[entry];
        }

        private void injectFaults(int step) {
            int kind = random.nextInt(1_000);
            int entry = random.nextInt(ENTRIES);
            if (kind < 4) {
                start(entry, step + random.nextInt(10, 60));
            } else if (kind < 10) {
                partitionedSince[entry] = Math.min(step, partitionedSince[entry]);
            } else if (kind < 24) {
                endPartition(entry, step);
            } else if (kind == 24 && step - lastLossOfAll >= WINDOW_STEPS) {
                lastLossOfAll = step;
                int down = random.nextInt(10, 40);
                IntStream.range(0, ENTRIES).forEach(i -> start(i, step + down));
            }
        }

        private boolean isUp(int entry, int step) {
            return step >= downUntil[entry];
        }

        private boolean isPartitioned(int entry, int step) {
            return partitionedSince[entry] <= step;
        }

        /** Updates the members that entries know; a partitioned entry stops gaining tokens before its record lapses. */
        private void updateMembers(int step) {
            for (int i = 0; i < ENTRIES; i++) {
                if (isUp(i, step)) {
                    entries[i].setOtherEntries(othersOf(i, step));
                }
            }
        }

        private Set<String> othersOf(int entry, int step) {
            return IntStream.range(0, ENTRIES)
                    .filter(o -> o != entry)
                    .filter(o -> isPartitioned(entry, step)
                            || !isPartitioned(o, step)
                            || step - partitionedSince[o] < PEER_RECORD_LAPSE_STEPS)
                    .mapToObj(Schedule::name)
                    .collect(Collectors.toSet());
        }

        private double generateDemand(int step) {
            double admitted = 0;
            for (int i = 0; i < ENTRIES; i++) {
                int requests = isUp(i, step) ? random.nextInt(heavyDemand ? 12 : 3) : 0;
                for (int r = 0; r < requests; r++) {
                    double cost = random.nextInt(5, 120);
                    admitted += entries[i].spend(ACCOUNT, cost).join().isEmpty() ? cost : 0;
                }
            }
            return admitted;
        }

        private void recordAdmitted(double admitted) {
            window.addLast(admitted);
            admittedInWindow += admitted;
            if (window.size() > WINDOW_STEPS) {
                admittedInWindow -= window.removeFirst();
            }
        }

        private static String name(int entry) {
            return "entry-" + entry;
        }

        /** Draws from the homes at other entries; some responses are lost after the home has granted tokens. */
        private final class Peers implements BudgetPeers {
            private final int from;

            Peers(int from) {
                this.from = from;
            }

            @Override
            public CompletableFuture<Grant> draw(String entry, String account, double needed, double ahead) {
                int to = Integer.parseInt(entry.substring("entry-".length()));
                if (!canReach(to)) {
                    return CompletableFuture.failedFuture(new IllegalStateException("home not reachable"));
                }
                Grant drawn = homes[to].draw(account, needed, ahead);
                return random.nextInt(100) < 2
                        ? CompletableFuture.failedFuture(new IllegalStateException("response lost"))
                        : CompletableFuture.completedFuture(drawn);
            }

            @Override
            public void returnTokens(String entry, String account, double tokens) {
                int to = Integer.parseInt(entry.substring("entry-".length()));
                if (canReach(to)) {
                    homes[to].returnTokens(account, tokens);
                }
            }

            private boolean canReach(int to) {
                return isUp(to, currentStep) && !isPartitioned(from, currentStep) && !isPartitioned(to, currentStep);
            }
        }
    }
}
