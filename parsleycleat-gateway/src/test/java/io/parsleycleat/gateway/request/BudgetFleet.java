package io.parsleycleat.gateway.request;

import io.parsleycleat.gateway.ManualScheduler;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.limits.AccountBudgets;
import io.parsleycleat.gateway.request.limits.BudgetHomes;
import io.parsleycleat.gateway.request.limits.BudgetPeers;
import io.parsleycleat.gateway.version.routes.Account;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The budgets of several entries, which receive each other's messages immediately. Used by one thread. */
final class BudgetFleet {
    static final BudgetHomes.Slack NO_SLACK = new BudgetHomes.Slack(0, Duration.ofSeconds(8));

    private final ManualTimeSource time;
    private final ManualScheduler scheduler;
    private final BudgetHomes.Slack slack;
    private final List<Account> accounts;
    private final List<String> names;
    private final Map<String, BudgetHomes> homes = new HashMap<>();
    private final Map<String, AccountBudgets> budgets = new HashMap<>();
    private final Set<String> down = new HashSet<>();
    private final Set<String> unconfirmed = new HashSet<>();
    private long messageCount;

    BudgetFleet(ManualTimeSource time, int entries, BudgetHomes.Slack slack, List<Account> accounts) {
        this.time = time;
        this.scheduler = new ManualScheduler(time);
        this.slack = slack;
        this.accounts = accounts;
        this.names = IntStream.range(0, entries).mapToObj(i -> "entry-" + i).toList();
        names.forEach(this::start);
    }

    /** Starts an entry without state from an earlier start. */
    void start(String name) {
        BudgetHomes started = new BudgetHomes(name, slack, time, () -> !unconfirmed.contains(name));
        homes.put(name, started);
        budgets.put(name, new AccountBudgets(name, started, new Peers(name), time, scheduler));
        budgets.get(name).setAccounts(accounts);
        budgets.get(name)
                .setOtherEntries(names.stream().filter(o -> !o.equals(name)).collect(Collectors.toSet()));
        down.remove(name);
    }

    void kill(String name) {
        down.add(name);
    }

    /** Makes an entry unsure whether the others still count it as a member, as after its record has lapsed. */
    void unconfirmMembership(String name) {
        unconfirmed.add(name);
    }

    void confirmMembership(String name) {
        unconfirmed.remove(name);
    }

    List<String> names() {
        return names;
    }

    List<String> running() {
        return names.stream().filter(n -> !down.contains(n)).toList();
    }

    AccountBudgets entry(String name) {
        return budgets.get(name);
    }

    boolean spend(String name, Account account, double cost) {
        return budgets.get(name).spend(account, cost).join().isEmpty();
    }

    /** Returns the number of frames that the entries have sent to each other. */
    long messageCount() {
        return messageCount;
    }

    private final class Peers implements BudgetPeers {
        private final String from;

        Peers(String from) {
            this.from = from;
        }

        @Override
        public CompletableFuture<Grant> draw(String entry, String account, double needed, double ahead) {
            messageCount += 2;
            return down.contains(entry) || down.contains(from)
                    ? CompletableFuture.failedFuture(new IllegalStateException("entry is down"))
                    : CompletableFuture.completedFuture(homes.get(entry).draw(account, needed, ahead));
        }

        @Override
        public void returnTokens(String entry, String account, double tokens) {
            messageCount++;
            if (!down.contains(entry)) {
                homes.get(entry).returnTokens(account, tokens);
            }
        }
    }
}
