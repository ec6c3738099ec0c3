package io.parsleycleat.standin.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.standin.load.Arrival.Kind;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class FiguresTest {
    private static final AccountPlan ACCOUNT = new AccountPlan("a", false, 1, 0.5, 1, 1, 10);
    private static final long SECOND = 1_000_000_000L;

    @Test
    public void refusalIsWrongfulOnlyWhenTheAccountHadTheTokens() {
        ReferenceBudget budget = new ReferenceBudget(10, 120);
        List<Outcome> outcomes = List.of(
                outcome(0, 92, ResultCode.DONE),
                outcome(1, 92, ResultCode.RATE_EXCEEDED),
                outcome(2, 12, ResultCode.RATE_EXCEEDED),
                outcome(3, 12, ResultCode.QUEUE_FULL),
                outcome(9 * SECOND, 92, ResultCode.DONE));
        assertEquals(
                budget.replay(outcomes).wrongful(),
                Map.of(ResultCode.RATE_EXCEEDED.number(), 1, ResultCode.QUEUE_FULL.number(), 1));
        assertEquals(budget.overshoot(), 0.0);
    }

    @Test
    public void tokensAdmittedAboveTheBudgetAreOvershoot() {
        ReferenceBudget budget = new ReferenceBudget(10, 150);
        budget.replay(List.of(outcome(0, 92, ResultCode.DONE), outcome(SECOND, 92, ResultCode.UPSTREAM_LOST)));
        assertEquals(budget.overshoot(), 24.0);
    }

    @Test
    public void fairPartsFollowWeightsAndNobodyGetsMoreThanAsked() {
        Map<String, Double> demands = Map.of("small", 10.0, "large", 40.0, "heavy", 500.0);
        Map<String, Double> parts = FairShare.divide(100, demands, Map.of("small", 1, "large", 1, "heavy", 2));
        assertEquals(parts.get("small"), 10.0, 0.001);
        assertEquals(parts.get("large"), 30.0, 0.001);
        assertEquals(parts.get("heavy"), 60.0, 0.001);
        assertEquals(FairShare.divide(2_000, demands, Map.of()), demands);
    }

    @Test
    public void worstServedAccountIsNamedAndTheOverloadingOneIsNot() {
        LoadOptions options = WorkloadTest.options(1);
        AccountPlan served = plan("served", 1);
        AccountPlan starved = plan("starved", 1);
        AccountPlan overload = plan("overload", 4);
        List<Outcome> outcomes = IntStream.range(0, 60)
                .mapToObj(i -> of(
                        List.of(served, starved, overload).get(i % 3),
                        150 * SECOND + i,
                        92,
                        i % 3 == 0 || i < 30 ? ResultCode.DONE : ResultCode.QUEUE_FULL))
                .toList();
        AccountAnalysis analysis = new AccountAnalysis(options, outcomes, outcomes);
        RunReport.Fairness fairness = analysis.fairness(List.of(served, starved, overload));
        assertEquals(fairness.worstAccount(), "starved");
        assertTrue(fairness.worstServedOfFairPart() < 1);
        assertEquals(fairness.wrongfulRefusals(), 20);
    }

    @Test
    public void percentilesAreInMilliseconds() {
        Percentiles times = Percentiles.ofNanos(
                IntStream.rangeClosed(1, 100).mapToObj(i -> i * 1_000_000L).toList());
        assertEquals(times.p50(), 50, 0.5);
        assertEquals(times.p95(), 95, 0.5);
        assertEquals(Percentiles.ofCounts(List.of(0L, 5L, 0L, 5L)).mean(), 2.0);
        assertEquals(Percentiles.ofNanos(List.of()).max(), 0.0);
        assertFalse(times.count() != 100);
    }

    private static AccountPlan plan(String id, double overload) {
        return new AccountPlan(id, false, 1, 0.3, 1, overload, 10);
    }

    private static Outcome outcome(long sent, int cost, ResultCode code) {
        return of(ACCOUNT, sent, cost, code);
    }

    /** Returns the outcome of a completion of some tokens, two of which are the prompt's. */
    private static Outcome of(AccountPlan account, long sent, int cost, ResultCode code) {
        Arrival arrival = new Arrival(0, sent, Kind.COMPLETION, account, "x", "12345678", cost - 2);
        return new Outcome(arrival, sent, 0, sent, 200, code.number(), "", 2, cost - 2, false);
    }
}
