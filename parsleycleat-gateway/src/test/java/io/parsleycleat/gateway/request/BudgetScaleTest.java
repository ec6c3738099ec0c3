package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertTrue;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.limits.BudgetHomes;
import io.parsleycleat.gateway.version.routes.Account;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates the budgets of fleets of different sizes and compares each account with one exact token bucket.
 *
 * <p>Demand is uneven: there are a few large accounts, one of them far above its rate, and requests arrive unevenly at
 * the entries. Single entries are killed, and once all of them.
 */
public class BudgetScaleTest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int STEP_MILLIS = 20;
    private static final int STEPS = 1_500;
    private static final int WINDOW_STEPS = 8_000 / STEP_MILLIS;
    private static final int KILL_INTERVAL_STEPS = 150;
    private static final int DOWN_STEPS = 60;
    private static final int LOSS_OF_ALL_STEP = 900;
    private static final double SLACK_TOKENS = 11_000;
    private static final double REQUEST_TOKENS = 1_500;
    private static final double USED_SHARE_OF_RATE = 0.55;

    /** Maximum number of frames that entries send to each other per request that is charged. */
    private static final double MAX_MESSAGES_PER_REQUEST = 5;

    private static final double MAX_WRONGLY_REFUSED_SHARE = 0.02;

    private static final double MIN_SERVED_SHARE = 0.85;
    private static final int HOT_ACCOUNT_INDEX = 1;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{5, 1L}, {33, 2L}, {100, 3L}, {350, 4L}};
    }

    /** Guards against messages that grow with the fleet: demand is about six requests a second at every entry. */
    @Test(dataProvider = "fleets")
    public void messagesGrowWithRequestsAndTheBoundHolds(int entries, long seed) {
        SimulationResult outcome = new Simulation(entries, seed).run();
        logger.atInfo().log(
                "%d entries: %.1f messages per second and entry, %.2f per request, %.4f wrongly refused, the account"
                        + " above its rate got %.3f of an exact bucket, worst window %.3f of its bound",
                entries,
                outcome.messages() / (STEPS * STEP_MILLIS / 1_000.0) / entries,
                (double) outcome.messages() / outcome.requests(),
                outcome.wronglyRefusedShare(),
                outcome.servedShareOfExact(),
                outcome.worstShareOfBound());
        assertTrue(outcome.worstShareOfBound() <= 1, "share of the bound: " + outcome.worstShareOfBound());
        assertTrue(
                outcome.messages() <= MAX_MESSAGES_PER_REQUEST * outcome.requests(), "messages " + outcome.messages());
        assertTrue(
                outcome.wronglyRefusedShare() <= MAX_WRONGLY_REFUSED_SHARE,
                "share wrongly refused: " + outcome.wronglyRefusedShare());
        assertTrue(
                outcome.servedShareOfExact() >= MIN_SERVED_SHARE,
                "share of an exact bucket: " + outcome.servedShareOfExact());
    }

    /**
     * Guards against wrong refusals of a small account near its rate: it uses nine tenths of the rate at five entries,
     * with requests that cost up to its whole burst.
     */
    @Test
    public void smallAccountNearItsRateGetsAsMuchAsFromAnExactBucket() {
        double exactTokens = 0;
        double servedTokens = 0;
        for (long seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ManualTimeSource time = new ManualTimeSource();
            Account account = new Account("small", Set.of("k"), null, true, 4_200, 4_200, 10);
            BudgetHomes.Slack slack = new BudgetHomes.Slack(17_000, Duration.ofSeconds(8));
            BudgetFleet fleet = new BudgetFleet(time, 5, slack, List.of(account));
            time.advanceMillis(15_000);
            double level = account.burst();
            for (int step = 0; step < STEPS; step++) {
                time.advanceMillis(STEP_MILLIS);
                fleet.running().forEach(e -> fleet.entry(e).returnUnspent());
                level = Math.min(account.burst(), level + account.ratePerSecond() * STEP_MILLIS / 1_000);
                if (random.nextDouble() >= 2.2 * STEP_MILLIS / 1_000) {
                    continue;
                }
                double cost = 700 + 4_000 * random.nextDouble() * random.nextDouble();
                boolean isOwed = level >= Math.min(cost, account.burst());
                level -= isOwed ? Math.min(cost, account.burst()) : 0;
                exactTokens += isOwed ? cost : 0;
                servedTokens += fleet.spend(fleet.names().get(random.nextInt(5)), account, cost) ? cost : 0;
            }
        }
        logger.atInfo().log("a small account got %.3f of what an exact bucket gives", servedTokens / exactTokens);
        assertTrue(servedTokens >= 0.98 * exactTokens, servedTokens + " of " + exactTokens);
        assertTrue(servedTokens <= 1.02 * exactTokens, servedTokens + " of " + exactTokens);
    }

    /**
     * The result of a simulation.
     *
     * @param messages the frames that the entries sent to each other
     * @param requests the requests at all entries
     * @param wronglyRefusedShare the share of requests that were refused although an exact bucket admitted them, for
     *     the accounts within their rate
     * @param servedShareOfExact the tokens admitted for the account above its rate, relative to an exact bucket
     * @param worstShareOfBound the largest amount admitted in a window, relative to its bound
     */
    private record SimulationResult(
            long messages,
            long requests,
            double wronglyRefusedShare,
            double servedShareOfExact,
            double worstShareOfBound) {}

    private static final class Simulation {
        private final int entries;
        private final SplittableRandom random;
        private final ManualTimeSource time = new ManualTimeSource();
        private final List<Account> accounts;
        private final BudgetFleet fleet;
        private final Map<String, Window> windows = new HashMap<>();
        private final Map<String, Double> exactLevels = new HashMap<>();
        private long requests;
        private long admittedByExact;
        private long wronglyRefused;
        private double hotServedTokens;
        private double hotExactTokens;

        Simulation(int entries, long seed) {
            this.entries = entries;
            this.random = new SplittableRandom(seed);
            this.accounts = IntStream.range(0, 13).mapToObj(this::account).toList();
            this.fleet = new BudgetFleet(
                    time, entries, new BudgetHomes.Slack(SLACK_TOKENS, Duration.ofSeconds(8)), accounts);
            accounts.forEach(a -> {
                windows.put(a.name(), new Window());
                exactLevels.put(a.name(), a.burst());
            });
        }

        /** Creates an account: 0 has a quarter of the demand, 1 a sixth, and so on; the small ones have 4% each. */
        private Account account(int index) {
            double demand = entries * 6 * REQUEST_TOKENS * share(index);
            double rate = Math.max(2_700, demand / USED_SHARE_OF_RATE);
            return new Account("account-" + index, Set.of("k" + index), null, true, rate, rate, 10);
        }

        private static double share(int index) {
            return index < 4 ? 0.25 / (1 + 0.5 * index) : 0.04;
        }

        SimulationResult run() {
            time.advanceMillis(15_000);
            double worst = 0;
            for (int step = 0; step < STEPS; step++) {
                time.advanceMillis(STEP_MILLIS);
                injectFaults(step);
                fleet.running().forEach(e -> fleet.entry(e).returnUnspent());
                IntStream.range(0, accounts.size()).forEach(this::generateDemand);
                worst = Math.max(worst, worstWindow());
            }
            return new SimulationResult(
                    fleet.messageCount(),
                    requests,
                    (double) wronglyRefused / admittedByExact,
                    hotServedTokens / hotExactTokens,
                    worst);
        }

        private void injectFaults(int step) {
            String victim = fleet.names().get(step / KILL_INTERVAL_STEPS % entries);
            if (step % KILL_INTERVAL_STEPS == 0) {
                fleet.kill(victim);
            } else if (step % KILL_INTERVAL_STEPS == DOWN_STEPS) {
                fleet.start(victim);
            }
            if (step == LOSS_OF_ALL_STEP) {
                fleet.names().forEach(fleet::kill);
            } else if (step == LOSS_OF_ALL_STEP + DOWN_STEPS) {
                fleet.names().forEach(fleet::start);
            }
        }

        private void generateDemand(int index) {
            Account account = accounts.get(index);
            double perSecond = entries * 6 * share(index) * (index == HOT_ACCOUNT_INDEX ? 6 : 1);
            exactLevels.merge(
                    account.name(),
                    account.ratePerSecond() * STEP_MILLIS / 1_000,
                    (level, more) -> Math.min(account.burst(), level + more));
            int count = (int) (perSecond * STEP_MILLIS / 1_000 + random.nextDouble());
            double admitted = 0;
            for (int i = 0; i < count; i++) {
                admitted += sendRequest(account);
            }
            windows.get(account.name()).add(admitted);
        }

        /** Sends a request to an entry, the first entries more often than the last; returns the admitted cost. */
        private double sendRequest(Account account) {
            List<String> running = fleet.running();
            if (running.isEmpty()) {
                return 0;
            }
            double position = random.nextDouble();
            double cost = REQUEST_TOKENS * (0.5 + random.nextDouble());
            boolean isAdmittedByExact = exactLevels.get(account.name()) >= cost;
            requests++;
            exactLevels.merge(account.name(), isAdmittedByExact ? -cost : 0, Double::sum);
            boolean spent = fleet.spend(running.get((int) (position * position * running.size())), account, cost);
            if (account.equals(accounts.get(HOT_ACCOUNT_INDEX))) {
                hotServedTokens += spent ? cost : 0;
                hotExactTokens += isAdmittedByExact ? cost : 0;
            } else {
                admittedByExact += isAdmittedByExact ? 1 : 0;
                wronglyRefused += isAdmittedByExact && !spent ? 1 : 0;
            }
            return spent ? cost : 0;
        }

        private double worstWindow() {
            return accounts.stream()
                    .mapToDouble(
                            a -> windows.get(a.name()).sum / ((a.ratePerSecond() * 8 + a.burst()) * 1.1 + SLACK_TOKENS))
                    .max()
                    .orElse(0);
        }
    }

    /** The amounts admitted in the last steps. */
    private static final class Window {
        private final Deque<Double> steps = new ArrayDeque<>();
        private double sum;

        void add(double admitted) {
            steps.addLast(admitted);
            sum += admitted;
            if (steps.size() > WINDOW_STEPS) {
                sum -= steps.removeFirst();
            }
        }
    }
}
