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
    private static final int OWN_LAPSE_STEPS = 6_000 / STEP_MILLIS;

    /** Age of an entry's record at which the other entries take over its part. */
    private static final int LAPSE_STEPS = 7_500 / STEP_MILLIS;
    /** Time from the end of a partition until all others know the entry and it counts itself as a member again. */
    private static final int SETTLE_STEPS = 4_250 / STEP_MILLIS;

    @Test
    public void noWindowOfAnyScheduleExceedsTheBound() {
        List<String> faults = IntStream.range(0, SEEDS)
                .boxed()
                .flatMap(seed -> new Schedule(seed).run().stream().map(f -> "seed " + seed + ": " + f))
                .toList();
        assertEquals(String.join("\n", faults), "");
    }

    private static final class Schedule {
        private final SplittableRandom random;
        private final ManualTimeSource time = new ManualTimeSource();
        private final ManualScheduler scheduler = new ManualScheduler(time);
        private final AccountBudgets[] entries = new AccountBudgets[ENTRIES];
        private final BudgetHomes[] homes = new BudgetHomes[ENTRIES];
        private final int[] lives = new int[ENTRIES];
        private final int[] cutSince = new int[ENTRIES];
        private final int[] downUntil = new int[ENTRIES];
        private final int[] settlesUntil = new int[ENTRIES];
        private final Deque<Double> window = new ArrayDeque<>();
        private final boolean heavy;
        private int now;
        private double inWindow;
        private int lastLossOfAll = -WINDOW_STEPS;

        Schedule(int seed) {
            this.random = new SplittableRandom(seed);
            this.heavy = random.nextBoolean();
            IntStream.range(0, ENTRIES).forEach(i -> start(i, 0));
        }

        List<String> run() {
            List<String> faults = new ArrayList<>();
            double total = 0;
            for (int step = 1; step <= STEPS; step++) {
                now = step;
                time.advanceMillis(STEP_MILLIS);
                disturb(step);
                membership(step);
                IntStream.range(0, ENTRIES).filter(i -> isUp(i, now)).forEach(i -> entries[i].returnUnspent());
                double admitted = demand(step);
                total += admitted;
                note(admitted);
                if (inWindow > BOUND) {
                    faults.add("%.0f admitted in the window that ends with step %d".formatted(inWindow, step));
                    break;
                }
            }
            if (total < RATE * STEPS * STEP_MILLIS / 1_000 / 4) {
                faults.add("only %.0f admitted of %d".formatted(total, (int) RATE * STEPS * STEP_MILLIS / 1_000));
            }
            return faults;
        }

        private void start(int entry, int step) {
            endCut(entry, step);
            homes[entry] = new BudgetHomes(
                    name(entry), new BudgetHomes.Slack(SLACK, Duration.ofSeconds(8)), time, () -> stands(entry));
            entries[entry] = new AccountBudgets(name(entry), homes[entry], new Peers(entry), time, scheduler);
            entries[entry].setAccounts(List.of(ACCOUNT));
            lives[entry]++;
            downUntil[entry] = step;
        }

        /** Ends a partition; an entry that others may have removed is a member again once all of them know it. */
        private void endCut(int entry, int step) {
            if (isCut(entry, step) && step - cutSince[entry] >= OWN_LAPSE_STEPS) {
                settlesUntil[entry] = step + SETTLE_STEPS;
            }
            cutSince[entry] = Integer.MAX_VALUE;
        }

        private boolean stands(int entry) {
            boolean known = !isCut(entry, now) || now - cutSince[entry] < OWN_LAPSE_STEPS;
            return known && now >= settlesUntil[entry];
        }

        private void disturb(int step) {
            int kind = random.nextInt(1_000);
            int entry = random.nextInt(ENTRIES);
            if (kind < 4) {
                start(entry, step + random.nextInt(10, 60));
            } else if (kind < 10) {
                cutSince[entry] = Math.min(step, cutSince[entry]);
            } else if (kind < 24) {
                endCut(entry, step);
            } else if (kind == 24 && step - lastLossOfAll >= WINDOW_STEPS) {
                lastLossOfAll = step;
                int down = random.nextInt(10, 40);
                IntStream.range(0, ENTRIES).forEach(i -> start(i, step + down));
            }
        }

        private boolean isUp(int entry, int step) {
            return step >= downUntil[entry];
        }

        private boolean isCut(int entry, int step) {
            return cutSince[entry] <= step;
        }

        /** Updates the members that entries know; a partitioned entry stops gaining tokens before its record lapses. */
        private void membership(int step) {
            for (int i = 0; i < ENTRIES; i++) {
                if (isUp(i, step)) {
                    entries[i].setOtherEntries(othersOf(i, step));
                }
            }
        }

        private Set<String> othersOf(int entry, int step) {
            return IntStream.range(0, ENTRIES)
                    .filter(o -> o != entry)
                    .filter(o -> isCut(entry, step) || !isCut(o, step) || step - cutSince[o] < LAPSE_STEPS)
                    .mapToObj(Schedule::name)
                    .collect(Collectors.toSet());
        }

        private double demand(int step) {
            double admitted = 0;
            for (int i = 0; i < ENTRIES; i++) {
                int requests = isUp(i, step) ? random.nextInt(heavy ? 12 : 3) : 0;
                for (int r = 0; r < requests; r++) {
                    double cost = random.nextInt(5, 120);
                    admitted += entries[i].spend(ACCOUNT, cost).join().isEmpty() ? cost : 0;
                }
            }
            return admitted;
        }

        private void note(double admitted) {
            window.addLast(admitted);
            inWindow += admitted;
            if (window.size() > WINDOW_STEPS) {
                inWindow -= window.removeFirst();
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
                if (!reaches(to)) {
                    return CompletableFuture.failedFuture(new IllegalStateException("not reached"));
                }
                Grant drawn = homes[to].draw(account, needed, ahead);
                return random.nextInt(100) < 2
                        ? CompletableFuture.failedFuture(new IllegalStateException("answer lost"))
                        : CompletableFuture.completedFuture(drawn);
            }

            @Override
            public void returnTokens(String entry, String account, double tokens) {
                int to = Integer.parseInt(entry.substring("entry-".length()));
                if (reaches(to)) {
                    homes[to].returnTokens(account, tokens);
                }
            }

            private boolean reaches(int to) {
                return isUp(to, now) && !isCut(from, now) && !isCut(to, now);
            }
        }
    }
}
