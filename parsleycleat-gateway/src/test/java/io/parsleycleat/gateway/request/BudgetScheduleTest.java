package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.gateway.MovedTime;
import io.parsleycleat.gateway.request.limits.AccountBudgets;
import io.parsleycleat.gateway.version.routes.Account;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Runs the budgets of five entries through random schedules of demand, lost and late reports, cuts, kills of one and of
 * all, and looks at what all of them admitted in each window.
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
    /** Ages at which an entry stops to spend, and at which the others take its part. */
    private static final int OWN_LAPSE_STEPS = 6_000 / STEP_MILLIS;

    private static final int LAPSE_STEPS = 7_500 / STEP_MILLIS;

    @Test
    public void noWindowOfAnyScheduleExceedsTheBound() {
        List<String> faults = IntStream.range(0, SEEDS)
                .boxed()
                .flatMap(seed -> new Schedule(seed).run().stream().map(f -> "seed " + seed + ": " + f))
                .toList();
        assertEquals(String.join("\n", faults), "");
    }

    /** A report that arrives at a step. */
    private record Report(int step, int from, int to, int life, Map<String, Double> totals) {}

    private static final class Schedule {
        private final SplittableRandom random;
        private final MovedTime time = new MovedTime();
        private final AccountBudgets[] entries = new AccountBudgets[ENTRIES];
        private final int[] lives = new int[ENTRIES];
        private final int[] cutSince = new int[ENTRIES];
        private final int[] downUntil = new int[ENTRIES];
        private final List<Report> onTheWay = new ArrayList<>();
        private final Deque<Double> window = new ArrayDeque<>();
        private final boolean heavy;
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
                time.passMillis(STEP_MILLIS);
                disturb(step);
                deliver(step);
                membership(step);
                double admitted = demand(step);
                total += admitted;
                note(admitted);
                if (inWindow > BOUND) {
                    faults.add("%.0f admitted in the window that ends with step %d".formatted(inWindow, step));
                    break;
                }
                if (step % 2 == 0) {
                    send(step);
                }
            }
            if (total < RATE * STEPS * STEP_MILLIS / 1_000 / 4) {
                faults.add("only %.0f admitted of %d".formatted(total, (int) RATE * STEPS * STEP_MILLIS / 1_000));
            }
            return faults;
        }

        private void start(int entry, int step) {
            entries[entry] = new AccountBudgets(time, SLACK / 4);
            entries[entry].setAccounts(List.of(ACCOUNT));
            lives[entry]++;
            cutSince[entry] = Integer.MAX_VALUE;
            downUntil[entry] = step;
        }

        private void disturb(int step) {
            int kind = random.nextInt(1_000);
            int entry = random.nextInt(ENTRIES);
            if (kind < 4) {
                start(entry, step + random.nextInt(10, 60));
            } else if (kind < 10) {
                cutSince[entry] = step;
            } else if (kind < 24) {
                cutSince[entry] = Integer.MAX_VALUE;
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

        private void deliver(int step) {
            List<Report> due = onTheWay.stream().filter(r -> r.step() <= step).toList();
            onTheWay.removeAll(due);
            due.stream()
                    .filter(r -> r.life() == lives[r.from()] && isUp(r.to(), step))
                    .forEach(r -> entries[r.to()].onReport(name(r.from()), r.totals()));
        }

        /** Records of entries that are down or cut lapse; they stop to spend before. */
        private void membership(int step) {
            for (int i = 0; i < ENTRIES; i++) {
                if (isUp(i, step)) {
                    entries[i].setSpending(!isCut(i, step) || step - cutSince[i] < OWN_LAPSE_STEPS);
                    entries[i].setOthers(othersOf(i, step));
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
                    admitted += entries[i].trySpend(ACCOUNT, cost).isEmpty() ? cost : 0;
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

        private void send(int step) {
            for (int from = 0; from < ENTRIES; from++) {
                if (!isUp(from, step)) {
                    continue;
                }
                Map<String, Double> totals = new HashMap<>(entries[from].report());
                for (int to = 0; to < ENTRIES; to++) {
                    if (to != from && !isCut(from, step) && !isCut(to, step) && random.nextInt(100) >= 2) {
                        int late = random.nextInt(100) < 5 ? random.nextInt(10) : 0;
                        onTheWay.add(new Report(step + 1 + late, from, to, lives[from], totals));
                    }
                }
            }
        }

        private static String name(int entry) {
            return "entry-" + entry;
        }
    }
}
