package io.parsleycleat.gateway.request.limits;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.routes.Account;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Charges the requests of one entry to the budgets of their accounts.
 *
 * <p>A home is an entry that owns a part of an account's budget. An entry that has too few tokens draws some from the
 * account's homes, for the waiting requests and for some further ones, so that the number of messages grows with the
 * requests and not with the number of entries. Tokens that are not spent soon are returned.
 *
 * <p>One instance per entry; safe for use by several threads. The futures of callers are completed on the thread that
 * receives the response of a home.
 */
public final class AccountBudgets {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Time for which no draws are sent to a home that did not respond. */
    private static final Duration UNRESPONSIVE_HOME_PAUSE = Duration.ofSeconds(1);
    /** Retry delay while the other entries are not known yet, which lasts only shortly after a start. */
    private static final Duration MEMBERS_UNKNOWN_RETRY_DELAY = Duration.ofMillis(250);

    private final String self;
    private final BudgetHomes homes;
    private final BudgetPeers peers;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private final Map<String, AccountDraws> accountDraws = new ConcurrentHashMap<>();
    private final Map<String, Long> unresponsiveUntilNanos = new ConcurrentHashMap<>();

    /**
     * Describes why a request was not charged.
     *
     * @param drawnTokens the tokens that were available; those drawn from homes are returned
     * @param retryAfter the time until the missing tokens can be available at the earliest
     */
    public record Shortage(double drawnTokens, Duration retryAfter) {}

    /** Creates an instance without accounts. */
    public AccountBudgets(
            String self, BudgetHomes homes, BudgetPeers peers, TimeSource time, ScheduledExecutorService scheduler) {
        this.self = self;
        this.homes = homes;
        this.peers = peers;
        this.time = time;
        this.scheduler = scheduler;
    }

    /**
     * Applies the accounts of a configuration version. Requests that wait for the budget of an account without a limit
     * are not charged any more.
     */
    public void setAccounts(List<Account> accounts) {
        homes.setAccounts(accounts);
        Map<String, Account> limited = accounts.stream()
                .filter(Account::isLimited)
                .collect(Collectors.toMap(Account::name, Function.identity(), (a, b) -> b));
        accountDraws.keySet().stream()
                .filter(name -> !limited.containsKey(name))
                .map(accountDraws::remove)
                .filter(Objects::nonNull)
                .forEach(AccountDraws::release);
        limited.forEach((name, account) -> accountDraws
                .computeIfAbsent(
                        name,
                        n -> new AccountDraws(
                                account,
                                this::responsiveHomes,
                                homes::deputy,
                                this::draw,
                                this::returnTokens,
                                time,
                                scheduler))
                .setAccount(account));
    }

    /** Sets the names of the other entries that are known to exist. */
    public void setOtherEntries(Set<String> others) {
        homes.setOtherEntries(others);
        unresponsiveUntilNanos.keySet().retainAll(others);
    }

    /**
     * Charges a cost to an account's budget.
     *
     * @return a future that completes with empty once the cost is charged, or with the shortage if it is not
     */
    public CompletableFuture<Optional<Shortage>> spend(Account account, double cost) {
        AccountDraws known = accountDraws(account);
        if (!account.isLimited() || known == null) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (homes.drawOrder(account).isEmpty()) {
            return CompletableFuture.completedFuture(Optional.of(new Shortage(0, MEMBERS_UNKNOWN_RETRY_DELAY)));
        }
        return known.spend(Math.min(cost, account.burst()));
    }

    /** Refunds the cost of a request that was charged but did not run. */
    public void refund(Account account, double cost) {
        AccountDraws known = accountDraws(account);
        if (known != null) {
            known.refund(Math.min(cost, account.burst()));
        }
    }

    /** Returns tokens that have been unspent for some time to the homes. */
    public void returnUnspent() {
        accountDraws.values().forEach(AccountDraws::returnUnspent);
    }

    private @Nullable AccountDraws accountDraws(Account account) {
        return accountDraws.get(account.name());
    }

    private List<String> responsiveHomes(Account account) {
        long now = time.monotonicNanos();
        List<String> all = homes.drawOrder(account);
        List<String> responsive =
                all.stream().filter(e -> !isUnresponsive(e, now)).toList();
        return responsive.size() == all.size()
                ? all
                : Stream.concat(responsive.stream(), homes.deputy(account).stream())
                        .toList();
    }

    private boolean isUnresponsive(String entry, long now) {
        Long until = unresponsiveUntilNanos.get(entry);
        return until != null && now - until < 0;
    }

    private CompletableFuture<BudgetPeers.Grant> draw(String home, String account, double needed, double prefetch) {
        if (home.equals(self)) {
            return CompletableFuture.completedFuture(homes.draw(account, needed, prefetch));
        }
        return peers.draw(home, account, needed, prefetch).whenComplete((grant, failure) -> {
            if (failure != null) {
                markUnresponsive(home, account, failure);
            }
        });
    }

    private void markUnresponsive(String home, String account, Throwable failure) {
        long now = time.monotonicNanos();
        if (!isUnresponsive(home, now)) {
            logger.atInfo()
                    .with(LogKeys.PEER, home)
                    .log(
                            "home of account %s does not answer, skipped for %d ms: %s",
                            account, UNRESPONSIVE_HOME_PAUSE.toMillis(), Failures.unwrap(failure));
        }
        unresponsiveUntilNanos.put(home, now + UNRESPONSIVE_HOME_PAUSE.toNanos());
    }

    private void returnTokens(String home, String account, double tokens) {
        if (home.equals(self)) {
            homes.returnTokens(account, tokens);
        } else {
            peers.returnTokens(home, account, tokens);
        }
    }
}
