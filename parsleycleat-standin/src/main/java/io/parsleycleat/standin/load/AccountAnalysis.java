package io.parsleycleat.standin.load;

import io.parsleycleat.standin.load.Arrival.Kind;
import io.parsleycleat.standin.load.RunReport.AccountFigures;
import io.parsleycleat.standin.load.RunReport.Fairness;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Works out what each account of a run asked for, could have got and got.
 *
 * <p>Created by {@link RunAnalysis}; used by one thread.
 */
final class AccountAnalysis {
    private final LoadOptions options;
    private final List<Outcome> all;
    private final List<Outcome> measured;
    private final double offered;

    AccountAnalysis(LoadOptions options, List<Outcome> all, List<Outcome> measured) {
        this.options = options;
        this.all = all;
        this.measured = measured;
        this.offered = Workload.offeredTokensPerSecond(options);
    }

    /** Returns the figures of each account. */
    List<AccountFigures> figures(List<AccountPlan> accounts) {
        Map<String, Double> parts = fairParts(accounts);
        return accounts.stream()
                .map(a -> figures(a, parts.getOrDefault(a.id(), 0.0)))
                .toList();
    }

    /** Returns who of the accounts that pay and keep to their rate was served worst, and all wrongful refusals. */
    Fairness fairness(List<AccountPlan> accounts) {
        List<AccountFigures> figures = figures(accounts);
        Set<String> wellBehavedIds = accounts.stream()
                .filter(a -> !a.freeTier() && a.overload() <= 1)
                .map(AccountPlan::id)
                .collect(Collectors.toSet());
        List<AccountFigures> wellBehaved =
                figures.stream().filter(f -> wellBehavedIds.contains(f.id())).toList();
        AccountFigures worst = wellBehaved.stream()
                .min(Comparator.comparingDouble(AccountAnalysis::servedOfFairPart))
                .orElseThrow();
        AccountFigures slowest = wellBehaved.stream()
                .max(Comparator.comparingDouble(f -> f.firstToken().p95()))
                .orElseThrow();
        int wrongful = figures.stream()
                .flatMap(f -> f.wrongfulRefusals().values().stream())
                .mapToInt(Integer::intValue)
                .sum();
        return new Fairness(
                worst.id(),
                servedOfFairPart(worst),
                slowest.id(),
                slowest.firstToken().p95(),
                wrongful,
                RunAnalysis.share(wrongful, Math.max(1, all.size())));
    }

    private AccountFigures figures(AccountPlan plan, double fairPart) {
        List<Outcome> own = of(measured, plan);
        ReferenceBudget budget =
                new ReferenceBudget(plan.tokensPerSecond(offered), plan.burstTokens(offered)).replay(of(all, plan));
        Map<String, Integer> wrongful = new TreeMap<>();
        budget.wrongful().forEach((code, count) -> wrongful.put(RunAnalysis.codeName(code), count));
        return new AccountFigures(
                plan.id(),
                own.size(),
                (int) own.stream().filter(Outcome::isDone).count(),
                asked(plan),
                allowed(plan),
                served(plan),
                Math.round(fairPart),
                Percentiles.ofNanos(RunAnalysis.firstTokens(own.stream()
                        .filter(o -> o.arrival().kind() == Kind.COMPLETION)
                        .toList())),
                wrongful,
                Math.round(budget.overshoot()));
    }

    /** Divides what was served: first between those who pay, then between the free accounts. */
    private Map<String, Double> fairParts(List<AccountPlan> accounts) {
        Map<String, Double> parts = new TreeMap<>();
        accounts.stream()
                .collect(Collectors.partitioningBy(AccountPlan::freeTier))
                .values()
                .forEach(group -> parts.putAll(fairPartsOf(group)));
        return parts;
    }

    private Map<String, Double> fairPartsOf(List<AccountPlan> group) {
        double total = group.stream().mapToDouble(this::served).sum();
        Map<String, Double> demands =
                group.stream().collect(Collectors.toMap(AccountPlan::id, a -> Math.min(asked(a), allowed(a))));
        Map<String, Integer> weights = group.stream().collect(Collectors.toMap(AccountPlan::id, AccountPlan::weight));
        return FairShare.divide(total, demands, weights);
    }

    private double asked(AccountPlan plan) {
        return of(measured, plan).stream()
                .mapToDouble(o -> ReferenceBudget.cost(o.arrival()))
                .sum();
    }

    private double allowed(AccountPlan plan) {
        return Math.round(plan.tokensPerSecond(offered) * options.seconds() + plan.burstTokens(offered));
    }

    private double served(AccountPlan plan) {
        return of(measured, plan).stream()
                .filter(Outcome::isDone)
                .mapToDouble(o -> ReferenceBudget.cost(o.arrival()))
                .sum();
    }

    private static double servedOfFairPart(AccountFigures figures) {
        return figures.fairPart() > 0 ? RunAnalysis.share(figures.served(), figures.fairPart()) : 1;
    }

    private static List<Outcome> of(List<Outcome> outcomes, AccountPlan plan) {
        return outcomes.stream()
                .filter(o -> o.arrival().account().id().equals(plan.id()))
                .toList();
    }
}
