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
    private static final Duration START_TIME = Duration.ofMillis(500);
    /** Share of the remaining tokens that a home grants for further requests, which leaves enough to other entries. */
    private static final double AHEAD_PART = 0.125;
    /** Share of the slack that a deputy holds; with its gains in a window it never grants more than the slack. */
    private static final double DEPUTY_PART = 0.5;

    private final String self;
    private final Slack slack;
    private final TimeSource time;
    private final BooleanSupplier standing;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<String, Held> held = new HashMap<>();
    private Set<String> entries;
    private HomeOrder order;
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
        double tokensPerPart() {
            return tokens / 2;
        }
    }

    /** The role of this entry for an account. */
    private enum Role {
        HOME,
        DEPUTY
    }

    /** A home's part of a budget, or a deputy's share of the slack. */
    private record Held(Role role, TokenBucket bucket) {}

    /**
     * Creates an instance without accounts and other entries.
     *
     * @param standing returns whether no other entry can have removed this one from its members
     */
    public BudgetHomes(String self, Slack slack, TimeSource time, BooleanSupplier standing) {
        this.self = self;
        this.slack = slack;
        this.time = time;
        this.standing = standing;
        this.entries = Set.of(self);
        this.order = new HomeOrder(entries, slack.tokensPerPart());
    }

    /** Applies the accounts of a configuration version. */
    public synchronized void setAccounts(List<Account> newAccounts) {
        Map<String, Account> before = Map.copyOf(accounts);
        accounts.clear();
        accounts.putAll(newAccounts.stream()
                .filter(Account::isLimited)
                .collect(Collectors.toMap(Account::name, Function.identity(), (a, b) -> b)));
        held.keySet().retainAll(accounts.keySet());
        boolean later = accountsKnown && membersKnown;
        accounts.values().forEach(a -> settle(a, later && !before.containsKey(a.name()) ? a.burst() : 0));
        accountsKnown = true;
    }

    /** Sets the names of the other entries that are known to exist. */
    public synchronized void setOtherEntries(Set<String> others) {
        Set<String> newEntries = withSelf(others);
        if (membersKnown && newEntries.equals(entries)) {
            return;
        }
        entries = newEntries;
        order = new HomeOrder(entries, slack.tokensPerPart());
        boolean start = !membersKnown;
        membersKnown = true;
        accounts.values().forEach(a -> settle(a, start ? startTokens(a) : 0));
    }

    /** Grants tokens from this entry's part of an account's budget, the needed ones first. */
    public synchronized BudgetPeers.Grant draw(String account, double needed, double ahead) {
        Held part = held.get(account);
        if (part == null || !isAmount(needed) || !isAmount(ahead)) {
            return BudgetPeers.Grant.NONE;
        }
        TokenBucket bucket = part.bucket();
        boolean gains = standing.getAsBoolean();
        bucket.fill(time.monotonicNanos(), gains);
        double tokens = bucket.take(needed);
        boolean spare = tokens >= needed && part.role() == Role.HOME;
        return new BudgetPeers.Grant(
                tokens + (spare ? bucket.take(Math.min(ahead, bucket.level() * AHEAD_PART)) : 0),
                gains ? bucket.ratePerSecond() : 0);
    }

    /** Takes back tokens that were drawn and not spent. */
    public synchronized void returnTokens(String account, double tokens) {
        Held part = held.get(account);
        if (part != null && isAmount(tokens)) {
            part.bucket().put(tokens);
        }
    }

    /** Returns the homes from which this entry draws for an account, in order; none before other entries are known. */
    synchronized List<String> drawOrder(Account account) {
        return membersKnown ? order.drawOrder(account, self) : List.of();
    }

    /** Returns the entry to draw from when a home of an account does not respond. */
    synchronized Optional<String> deputy(Account account) {
        return membersKnown ? order.deputy(account) : Optional.empty();
    }

    private Set<String> withSelf(Set<String> others) {
        return Stream.concat(others.stream(), Stream.of(self)).collect(Collectors.toSet());
    }

    /** Returns the initial tokens of a new process over all homes: at most those gained while it started. */
    private static double startTokens(Account account) {
        double seconds = START_TIME.toMillis() / 1_000.0;
        return Math.min(account.burst() / 2, account.ratePerSecond() * seconds);
    }

    /**
     * Adjusts this entry's part of an account's budget to the current limits and role.
     *
     * @param firstTokens the initial tokens of a part that is new here, over all homes
     */
    private void settle(Account account, double firstTokens) {
        if (!membersKnown) {
            return;
        }
        int parts = order.parts(account);
        Role role = role(order.homes(account).indexOf(self), parts);
        if (role == null) {
            held.remove(account.name());
            return;
        }
        boolean home = role == Role.HOME;
        double burst = home ? account.burst() / parts : slack.tokens() * DEPUTY_PART;
        double rate = home ? account.ratePerSecond() / parts : burst / seconds(slack.window());
        long now = time.monotonicNanos();
        Held known = held.get(account.name());
        if (known == null || known.role() != role) {
            held.put(account.name(), new Held(role, new TokenBucket(rate, burst, home ? firstTokens / parts : 0, now)));
        } else {
            known.bucket().fill(now, standing.getAsBoolean());
            known.bucket().setLimit(rate, burst);
        }
    }

    private static @Nullable Role role(int rank, int parts) {
        if (rank < 0) {
            return null;
        }
        return rank < parts ? Role.HOME : Role.DEPUTY;
    }

    private static boolean isAmount(double tokens) {
        return Double.isFinite(tokens) && tokens >= 0;
    }

    private static double seconds(Duration duration) {
        return Math.max(1, duration.toMillis()) / (double) TimeUnit.SECONDS.toMillis(1);
    }
}
