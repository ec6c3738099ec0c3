package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.MovedTime;
import io.parsleycleat.gateway.request.limits.AccountBudgets;
import io.parsleycleat.gateway.version.routes.Account;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AccountBudgetsTest {
    private static final double RATE = 1_000;
    private static final Account ACCOUNT = new Account("tailors", Set.of("k"), null, true, RATE, RATE, 10);

    private MovedTime time;

    private AccountBudgets entry(Set<String> others) {
        return entry(others, 0);
    }

    private AccountBudgets entry(Set<String> others, double tolerance) {
        AccountBudgets budgets = new AccountBudgets(time, tolerance);
        budgets.setAccounts(List.of(ACCOUNT));
        budgets.setOthers(others);
        return budgets;
    }

    private static double spendAll(AccountBudgets budgets, double cost) {
        return IntStream.range(0, 10_000)
                        .takeWhile(i -> budgets.trySpend(ACCOUNT, cost).isEmpty())
                        .count()
                * cost;
    }

    @BeforeMethod
    public void setUp() {
        time = new MovedTime();
    }

    @Test
    public void aReplicaStartsWithItsPartOfHalfTheBurst() {
        assertEquals(entry(Set.of("b", "c", "d", "e")).level("tailors"), 100, 1);
    }

    /** Load pattern: every entry is killed twice within a window while one account asks without a break. */
    @Test
    public void restartsOfAllEntriesStayWithinTheBound() {
        double admitted = 0;
        List<String> names = List.of("a", "b", "c", "d", "e");
        for (int restart = 0; restart < 3; restart++) {
            List<AccountBudgets> entries = names.stream()
                    .map(n -> entry(
                            Set.copyOf(names.stream().filter(o -> !o.equals(n)).toList())))
                    .toList();
            for (int step = 0; step < 26; step++) {
                time.passMillis(100);
                admitted += entries.stream().mapToDouble(e -> spendAll(e, 10)).sum();
            }
        }
        assertTrue(admitted <= (8 * RATE + RATE) * 1.1, "admitted " + admitted);
    }

    @Test
    public void nothingIsAddedBeforeTheOthersAreKnown() {
        AccountBudgets budgets = new AccountBudgets(time, 0);
        budgets.setAccounts(List.of(ACCOUNT));
        time.passMillis(5_000);
        assertEquals(budgets.level("tailors"), 0.0, 0.001);
    }

    @Test
    public void whatOthersAdmitIsTakenOff() {
        AccountBudgets budgets = entry(Set.of("b"));
        budgets.onReport("b", Map.of("tailors", 0.0));
        time.passMillis(1_000);
        budgets.onReport("b", Map.of("tailors", 700.0));
        assertEquals(budgets.level("tailors"), 300, 1);
    }

    @Test
    public void thePartOfASilentEntryIsLeftToIt() {
        AccountBudgets budgets = entry(Set.of("b", "c", "d"));
        time.passMillis(2_000);
        assertEquals(budgets.level("tailors"), 125 + 500, 1);
    }

    @Test
    public void whatASilentEntrySpentFromItsPartIsNotTakenOffAgain() {
        AccountBudgets budgets = entry(Set.of("b"));
        budgets.onReport("b", Map.of("tailors", 100.0));
        time.passMillis(4_000);
        budgets.onReport("b", Map.of("tailors", 2_100.0));
        assertTrue(budgets.level("tailors") > 900, "level " + budgets.level("tailors"));
    }

    /** Load pattern: one account asks for eight times its rate at every entry. */
    @Test
    public void entriesTogetherStayWithinTheLimitUnderEightTimesTheRate() {
        List<String> names = List.of("a", "b", "c", "d", "e");
        List<AccountBudgets> entries = names.stream()
                .map(n -> entry(
                        Set.copyOf(names.stream().filter(o -> !o.equals(n)).toList())))
                .toList();
        double admitted = 0;
        for (int step = 0; step < 100; step++) {
            time.passMillis(100);
            for (AccountBudgets entry : entries) {
                for (int i = 0; i < 16; i++) {
                    admitted += entry.trySpend(ACCOUNT, 10).isEmpty() ? 10 : 0;
                }
            }
            IntStream.range(0, names.size()).forEach(from -> {
                Map<String, Double> totals = entries.get(from).report();
                IntStream.range(0, names.size()).filter(to -> to != from).forEach(to -> entries.get(to)
                        .onReport(names.get(from), totals));
            });
        }
        assertTrue(admitted <= 10 * RATE + RATE, "admitted " + admitted);
        assertTrue(admitted >= 0.85 * 10 * RATE, "admitted " + admitted);
    }

    @Test
    public void aCostAboveTheBurstIsTakenFromAFullBudget() {
        AccountBudgets budgets = entry(Set.of());
        time.passMillis(1_000);
        assertTrue(budgets.trySpend(ACCOUNT, 3 * RATE).isEmpty());
        assertFalse(budgets.trySpend(ACCOUNT, 1).isEmpty());
    }

    @Test
    public void aRefusalTellsWhenTheCostWillBeThere() {
        AccountBudgets budgets = entry(Set.of());
        assertEquals(budgets.trySpend(ACCOUNT, 900).orElseThrow().toMillis(), 400);
    }

    @Test
    public void anEntryThatTheOthersDoNotCountOnAddsNothing() {
        AccountBudgets budgets = entry(Set.of());
        budgets.setSpending(false);
        time.passMillis(3_000);
        assertEquals(budgets.level("tailors"), 500, 1);
    }

    /** Load pattern: an account that was quiet sends several requests to one entry at once. */
    @Test
    public void aFullBudgetIsNotHeldBackForWhatOthersMightSpend() {
        assertEquals(spentAtOnce(0), 300, 1);
        assertEquals(spentAtOnce(500), 400, 1);
        assertEquals(spentAtOnce(2_000), 800, 1);
    }

    private double spentAtOnce(double tolerance) {
        AccountBudgets budgets = entry(Set.of("b", "c", "d"), tolerance);
        Set.of("b", "c", "d").forEach(o -> budgets.onReport(o, Map.of("tailors", 0.0)));
        time.passMillis(1_000);
        return spendAll(budgets, 100);
    }

    /** Load pattern: one account asks for eight times its rate at every entry, which may together admit too much. */
    @Test
    public void whatEntriesSpendTooMuchIsTakenOffLater() {
        List<String> names = List.of("a", "b", "c", "d", "e");
        List<AccountBudgets> entries = names.stream()
                .map(n -> entry(
                        Set.copyOf(names.stream().filter(o -> !o.equals(n)).toList()), 500))
                .toList();
        double admitted = 0;
        for (int step = 0; step < 100; step++) {
            time.passMillis(100);
            for (AccountBudgets entry : entries) {
                admitted += spendAll(entry, 10);
            }
            for (int from = 0; from < names.size(); from++) {
                Map<String, Double> totals = entries.get(from).report();
                for (int to = 0; to < names.size(); to++) {
                    if (to != from) {
                        entries.get(to).onReport(names.get(from), totals);
                    }
                }
            }
        }
        assertTrue(admitted <= 10 * RATE + RATE + 5 * 500, "admitted " + admitted);
    }

    @Test
    public void aRefusedCallerComesBackAfterTheNextReport() {
        AccountBudgets budgets = entry(Set.of("b"));
        budgets.onReport("b", Map.of("tailors", 0.0));
        time.passMillis(1_000);
        spendAll(budgets, 100);
        assertTrue(budgets.trySpend(ACCOUNT, 100).orElseThrow().toMillis() >= 100);
    }

    /** Load pattern: all entries were lost, and all callers ask again before the entries know each other. */
    @Test
    public void aCallerRefusedBeforeTheOthersAreKnownComesBackSoon() {
        AccountBudgets budgets = new AccountBudgets(time, 0);
        budgets.setAccounts(List.of(ACCOUNT));
        Duration after = budgets.trySpend(ACCOUNT, 900).orElseThrow();
        assertTrue(after.compareTo(Duration.ofMillis(500)) < 0, "back after " + after);
    }
}
