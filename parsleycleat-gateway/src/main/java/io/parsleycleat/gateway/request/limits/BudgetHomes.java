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
 * The parts of accounts' budgets that this entry is the home of.
 *
 * <p>A part gains its share of the rate while this entry stands: while it is sure that no other entry counts it as
 * gone. A part that comes to this entry from another one begins empty, as its tokens may have been spent there.
 *
 * <p>A deputy holds no part of the rate, but a part of the slack that all entries together may admit beyond the
 * budget, for the time in which a home does not answer.
 *
 * <p>One an entry; guarded by its own lock.
 */
public final class BudgetHomes {
    /** Time that a process needs at least to start; its part may begin with what that time brought. */
    private static final Duration START_TIME = Duration.ofMillis(500);
    /** What a home gives of the rest for requests to come, so that other entries find enough. */
    private static final double AHEAD_PART = 0.125;
    /** What a deputy keeps of the slack; with what it gains in a window it never gives more than all of it. */
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
     * What all entries together may admit beyond a budget.
     *
     * @param tokens how much, in the budget's unit
     * @param window in how long a time
     */
    public record Slack(double tokens, Duration window) {
        /** A part smaller than this is not worth a home of its own. */
        double tokensPerPart() {
            return tokens / 2;
        }
    }

    /** What this entry is for an account. */
    private enum Role {
        HOME,
        DEPUTY
    }

    /** A part, or a deputy's share of the slack. */
    private record Held(Role role, TokenBucket bucket) {}

    /**
     * Creates homes without accounts and other entries.
     *
     * @param standing whether no other entry can count this one as gone now
     */
    public BudgetHomes(String self, Slack slack, TimeSource time, BooleanSupplier standing) {
        this.self = self;
        this.slack = slack;
        this.time = time;
        this.standing = standing;
        this.entries = Set.of(self);
        this.order = new HomeOrder(entries, slack.tokensPerPart());
    }

    /** Takes the accounts of a configuration version. */
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

    /** Takes the names of the other entries that are known to exist. */
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

    /** Gives tokens of an account's part, what is needed first. */
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

    /** Takes back what was drawn and not spent. */
    public synchronized void returnTokens(String account, double tokens) {
        Held part = held.get(account);
        if (part != null && isAmount(tokens)) {
            part.bucket().put(tokens);
        }
    }

    /** Returns the homes on which this entry draws for an account, in order; none before others are known. */
    synchronized List<String> drawOrder(Account account) {
        return membersKnown ? order.drawOrder(account, self) : List.of();
    }

    /** Returns the entry to draw on when a home of an account does not answer. */
    synchronized Optional<String> deputy(Account account) {
        return membersKnown ? order.deputy(account) : Optional.empty();
    }

    private Set<String> withSelf(Set<String> others) {
        return Stream.concat(others.stream(), Stream.of(self)).collect(Collectors.toSet());
    }

    /** What a new process begins with, over all homes: at most what was not spent while it started. */
    private static double startTokens(Account account) {
        double seconds = START_TIME.toMillis() / 1_000.0;
        return Math.min(account.burst() / 2, account.ratePerSecond() * seconds);
    }

    /**
     * Sets an account's part to the present limits and role.
     *
     * @param firstTokens what a part that was not here begins with, over all homes
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
