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
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Holds the parts of accounts' budgets of which this entry is the home, that is, the owner.
 *
 * <p>A part gains its share of the rate only while no other entry can have removed this one from its members. A part
 * that moves here from another entry starts empty, because its tokens may have been spent there.
 *
 * <p>A deputy owns no part of the rate. It grants from a share of the slack, which is what all entries together may
 * admit beyond the budget, while a home does not respond.
 *
 * <p>One instance per entry; guarded by its own lock.
 */
public final class BudgetHomes {
    /** Minimum time that a process takes to start; a part may begin with the tokens of this time. */
    private static final Duration MIN_START_TIME = Duration.ofMillis(500);
    /** Share of the remaining tokens that a home grants for further requests, which leaves enough to other entries. */
    private static final double PREFETCH_SHARE = 0.125;
    /** Share of the slack that a deputy holds; with its gains in a window it never grants more than the slack. */
    private static final double DEPUTY_SLACK_SHARE = 0.5;

    private final String self;
    private final Slack slack;
    private final TimeSource time;
    private final BooleanSupplier membershipConfirmed;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<String, Holding> holdings = new HashMap<>();
    private Set<String> entries;
    private HomeOrder homeOrder;
    private boolean membersKnown;
    private boolean accountsKnown;

    /**
     * The amount that all entries together may admit beyond a budget.
     *
     * @param tokens the amount, in the unit of the budget
     * @param window the time in which it may be admitted
     */
    public record Slack(double tokens, Duration window) {
        /** Returns the size below which a part does not get a home of its own. */
        double minTokensPerPart() {
            return tokens / 2;
        }
    }

    /** The role of this entry for an account. */
    private enum Role {
        HOME,
        DEPUTY
    }

    /** A home's part of a budget, or a deputy's share of the slack. */
    private record Holding(Role role, TokenBucket bucket) {}

    /**
     * Creates an instance without accounts and other entries.
     *
     * @param membershipConfirmed returns whether no other entry can have removed this one from its members
     */
    public BudgetHomes(String self, Slack slack, TimeSource time, BooleanSupplier membershipConfirmed) {
        this.self = self;
        this.slack = slack;
        this.time = time;
        this.membershipConfirmed = membershipConfirmed;
        this.entries = Set.of(self);
        this.homeOrder = new HomeOrder(entries, slack.minTokensPerPart());
    }

    /** Applies the accounts of a configuration version. */
    public synchronized void setAccounts(List<Account> newAccounts) {
        Map<String, Account> before = Map.copyOf(accounts);
        accounts.clear();
        accounts.putAll(newAccounts.stream()
                .filter(Account::isLimited)
                .collect(Collectors.toMap(Account::name, Function.identity(), (a, b) -> b)));
        holdings.keySet().retainAll(accounts.keySet());
        boolean isAddition = accountsKnown && membersKnown;
        accounts.values().forEach(a -> updateHolding(a, isAddition && !before.containsKey(a.name()) ? a.burst() : 0));
        accountsKnown = true;
    }

    /** Sets the names of the other entries that are known to exist. */
    public synchronized void setOtherEntries(Set<String> others) {
        Set<String> newEntries = withSelf(others);
        if (membersKnown && newEntries.equals(entries)) {
            return;
        }
        entries = newEntries;
        homeOrder = new HomeOrder(entries, slack.minTokensPerPart());
        boolean isFirst = !membersKnown;
        membersKnown = true;
        accounts.values().forEach(a -> updateHolding(a, isFirst ? initialTokens(a) : 0));
    }

    /** Grants tokens from this entry's part of an account's budget, the needed ones first. */
    public synchronized BudgetPeers.Grant draw(String account, double needed, double prefetch) {
        Holding holding = holdings.get(account);
        if (holding == null || !isValidAmount(needed) || !isValidAmount(prefetch)) {
            return BudgetPeers.Grant.NONE;
        }
        TokenBucket bucket = holding.bucket();
        boolean isGaining = membershipConfirmed.getAsBoolean();
        bucket.refill(time.monotonicNanos(), isGaining);
        double tokens = bucket.take(needed);
        boolean mayPrefetch = tokens >= needed && holding.role() == Role.HOME;
        return new BudgetPeers.Grant(
                tokens + (mayPrefetch ? bucket.take(Math.min(prefetch, bucket.storedTokens() * PREFETCH_SHARE)) : 0),
                isGaining ? bucket.ratePerSecond() : 0);
    }

    /** Takes back tokens that were drawn and not spent. */
    public synchronized void returnTokens(String account, double tokens) {
        Holding holding = holdings.get(account);
        if (holding != null && isValidAmount(tokens)) {
            holding.bucket().add(tokens);
        }
    }

    /** Returns the homes from which this entry draws for an account, in order; none before other entries are known. */
    synchronized List<String> drawOrder(Account account) {
        return membersKnown ? homeOrder.drawOrder(account, self) : List.of();
    }

    /** Returns the entry to draw from when a home of an account does not respond. */
    synchronized Optional<String> deputy(Account account) {
        return membersKnown ? homeOrder.deputy(account) : Optional.empty();
    }

    private Set<String> withSelf(Set<String> others) {
        return Stream.concat(others.stream(), Stream.of(self)).collect(Collectors.toSet());
    }

    /** Returns the initial tokens of a new process over all homes: at most those gained while it started. */
    private static double initialTokens(Account account) {
        double seconds = MIN_START_TIME.toMillis() / 1_000.0;
        return Math.min(account.burst() / 2, account.ratePerSecond() * seconds);
    }

    /**
     * Adjusts this entry's part of an account's budget to the current limits and role.
     *
     * @param initialTokens the initial tokens of a part that is new here, over all homes
     */
    private void updateHolding(Account account, double initialTokens) {
        if (!membersKnown) {
            return;
        }
        int partCount = homeOrder.partCount(account);
        Role role = role(homeOrder.homesAndDeputy(account).indexOf(self), partCount);
        if (role == null) {
            holdings.remove(account.name());
            return;
        }
        boolean isHome = role == Role.HOME;
        double burst = isHome ? account.burst() / partCount : slack.tokens() * DEPUTY_SLACK_SHARE;
        double rate = isHome ? account.ratePerSecond() / partCount : burst / seconds(slack.window());
        long now = time.monotonicNanos();
        Holding known = holdings.get(account.name());
        if (known == null || known.role() != role) {
            holdings.put(
                    account.name(),
                    new Holding(role, new TokenBucket(rate, burst, isHome ? initialTokens / partCount : 0, now)));
        } else {
            known.bucket().refill(now, membershipConfirmed.getAsBoolean());
            known.bucket().setLimits(rate, burst);
        }
    }

    private static @Nullable Role role(int rank, int partCount) {
        if (rank < 0) {
            return null;
        }
        return rank < partCount ? Role.HOME : Role.DEPUTY;
    }

    private static boolean isValidAmount(double tokens) {
        return Double.isFinite(tokens) && tokens >= 0;
    }

    private static double seconds(Duration duration) {
        return Math.max(1, duration.toMillis()) / (double) TimeUnit.SECONDS.toMillis(1);
    }
}
