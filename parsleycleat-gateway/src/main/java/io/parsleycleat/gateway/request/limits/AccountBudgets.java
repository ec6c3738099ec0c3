package io.parsleycleat.gateway.request.limits;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.routes.Account;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * The budgets of all accounts at one entry.
 *
 * <p>One an entry; guarded by its own lock.
 */
public final class AccountBudgets {
    /** Silence after which an entry is taken to spend its own part unheard. */
    private static final Duration HEARD_WITHIN = Duration.ofMillis(1_500);

    /** Part of the burst with which all entries together start; the bound leaves room for twice as much. */
    private static final double START_PART = 0.5;

    private final TimeSource time;
    private final double tolerance;
    private final Map<String, AccountBudget> budgets = new HashMap<>();
    private final Map<String, Long> heardNanos = new HashMap<>();
    private Set<String> others = Set.of();
    /** Nothing is added before the others are known, since they may be spending all of it. */
    private boolean othersKnown;

    private boolean adding = true;

    /**
     * Creates budgets without accounts.
     *
     * @param tolerance what all entries together may spend too much of one budget before they hear of each other
     */
    public AccountBudgets(TimeSource time, double tolerance) {
        this.time = time;
        this.tolerance = tolerance;
    }

    /** Takes the accounts of a configuration version. */
    public synchronized void setAccounts(List<Account> accounts) {
        long now = time.monotonicNanos();
        fillAll();
        Set<String> names =
                accounts.stream().filter(Account::isLimited).map(Account::name).collect(Collectors.toSet());
        budgets.keySet().retainAll(names);
        accounts.stream().filter(Account::isLimited).forEach(a -> budgets.computeIfAbsent(
                        a.name(), n -> new AccountBudget(a.ratePerSecond(), a.burst(), now))
                .setLimit(a.ratePerSecond(), a.burst()));
    }

    /** Takes the names of the other entries that are known to exist. */
    public synchronized void setOthers(Set<String> newOthers) {
        fillAll();
        others = Set.copyOf(newOthers);
        if (!othersKnown) {
            othersKnown = true;
            budgets.values().forEach(b -> b.begin(START_PART / (1.0 + others.size())));
        }
        heardNanos.keySet().retainAll(others);
    }

    /**
     * Says whether the others count on this entry. While they do not, nothing is added here; what is left may be spent,
     * since it was added before.
     */
    public synchronized void setSpending(boolean mayAdd) {
        fillAll();
        adding = mayAdd;
    }

    /** Takes what another entry has admitted since its start. */
    public synchronized void onReport(String entry, Map<String, Double> totals) {
        fillAll();
        if (!isHeard(entry)) {
            budgets.values().forEach(b -> b.forget(entry));
        }
        heardNanos.put(entry, time.monotonicNanos());
        totals.forEach((account, total) -> {
            AccountBudget budget = budgets.get(account);
            if (budget != null) {
                budget.onReport(entry, total);
            }
        });
    }

    /**
     * Takes a cost out of an account's budget.
     *
     * @return nothing when it was taken, else when it will be there at the earliest
     */
    public synchronized Optional<Duration> trySpend(Account account, double cost) {
        AccountBudget budget = budgets.get(account.name());
        if (!account.isLimited() || budget == null) {
            return Optional.empty();
        }
        budget.fill(time.monotonicNanos(), part());
        if (budget.trySpend(cost, heardOthers(), tolerance)) {
            return Optional.empty();
        }
        return Optional.of(budget.timeUntil(cost, part()));
    }

    /** Gives a cost back that was taken for a request that did not run. */
    public synchronized void giveBack(Account account, double cost) {
        AccountBudget budget = budgets.get(account.name());
        if (budget != null) {
            budget.giveBack(cost);
        }
    }

    /** Returns the totals for the next report to the others. */
    public synchronized Map<String, Double> report() {
        return budgets.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().report()));
    }

    /** Returns what is left of an account's budget. */
    public synchronized double level(String account) {
        AccountBudget budget = budgets.get(account);
        if (budget == null) {
            return 0;
        }
        budget.fill(time.monotonicNanos(), part());
        return budget.level();
    }

    private void fillAll() {
        budgets.values().forEach(b -> b.fill(time.monotonicNanos(), part()));
    }

    /** Returns the part of the rate that does not belong to entries which are not heard. */
    private double part() {
        return othersKnown && adding ? (1.0 + heardOthers()) / (1.0 + others.size()) : 0;
    }

    private int heardOthers() {
        return (int) others.stream().filter(this::isHeard).count();
    }

    private boolean isHeard(String entry) {
        Long heard = heardNanos.get(entry);
        return heard != null && time.monotonicNanos() - heard < TimeUnit.MILLISECONDS.toNanos(HEARD_WITHIN.toMillis());
    }
}
