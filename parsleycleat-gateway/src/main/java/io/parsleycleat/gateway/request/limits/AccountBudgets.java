package io.parsleycleat.gateway.request.limits;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.routes.Account;
import java.time.Duration;
import java.util.List;
import java.util.Map;
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
 * The budgets of all accounts, as the requests of one entry draw on them.
 *
 * <p>An entry draws tokens from an account's homes when it has none left, for the requests that wait and some to come,
 * so that the messages follow the requests and not the number of entries. What is not spent soon goes back.
 *
 * <p>One an entry; safe to share between threads. Answers of homes complete the callers' futures on the thread that
 * brings them.
 */
public final class AccountBudgets {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Pause after which a home that did not answer is asked again. */
    private static final Duration SILENT_PAUSE = Duration.ofSeconds(1);
    /** Time to come back at while the other entries are not known yet, which is soon learnt. */
    private static final Duration SOON = Duration.ofMillis(250);

    private final String self;
    private final BudgetHomes homes;
    private final BudgetPeers peers;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private final Map<String, AccountDraws> draws = new ConcurrentHashMap<>();
    private final Map<String, Long> silentUntilNanos = new ConcurrentHashMap<>();

    /**
     * Why a request does not get its tokens.
     *
     * @param drawnTokens what the homes gave, which they get back
     * @param retryAfter when the rest will be there at the earliest
     */
    public record Shortage(double drawnTokens, Duration retryAfter) {}

    /** Creates budgets without accounts. */
    public AccountBudgets(
            String self, BudgetHomes homes, BudgetPeers peers, TimeSource time, ScheduledExecutorService scheduler) {
        this.self = self;
        this.homes = homes;
        this.peers = peers;
        this.time = time;
        this.scheduler = scheduler;
    }

    /** Takes the accounts of a configuration version. */
    public void setAccounts(List<Account> accounts) {
        homes.setAccounts(accounts);
        Map<String, Account> limited = accounts.stream()
                .filter(Account::isLimited)
                .collect(Collectors.toMap(Account::name, Function.identity(), (a, b) -> b));
        draws.keySet().retainAll(limited.keySet());
        limited.forEach((name, account) -> draws.computeIfAbsent(
                        name,
                        n -> new AccountDraws(
                                account, this::answering, homes::deputy, this::draw, this::giveBackTo, time, scheduler))
                .setAccount(account));
    }

    /** Takes the names of the other entries that are known to exist. */
    public void setOtherEntries(Set<String> others) {
        homes.setOtherEntries(others);
        silentUntilNanos.keySet().retainAll(others);
    }

    /**
     * Takes a cost out of an account's budget.
     *
     * @return completes with nothing once it was taken, else with why not
     */
    public CompletableFuture<Optional<Shortage>> spend(Account account, double cost) {
        AccountDraws known = draws(account);
        if (!account.isLimited() || known == null) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (homes.drawOrder(account).isEmpty()) {
            return CompletableFuture.completedFuture(Optional.of(new Shortage(0, SOON)));
        }
        return known.spend(Math.min(cost, account.burst()));
    }

    /** Gives a cost back that was taken for a request that did not run. */
    public void refund(Account account, double cost) {
        AccountDraws known = draws(account);
        if (known != null) {
            known.giveBack(Math.min(cost, account.burst()));
        }
    }

    /** Hands what was not spent for a while back to the homes. */
    public void returnUnspent() {
        draws.values().forEach(AccountDraws::handBackUnspent);
    }

    private @Nullable AccountDraws draws(Account account) {
        return draws.get(account.name());
    }

    private List<String> answering(Account account) {
        long now = time.monotonicNanos();
        List<String> all = homes.drawOrder(account);
        List<String> answering = all.stream().filter(e -> !isSilent(e, now)).toList();
        return answering.size() == all.size()
                ? all
                : Stream.concat(answering.stream(), homes.deputy(account).stream())
                        .toList();
    }

    private boolean isSilent(String entry, long now) {
        Long until = silentUntilNanos.get(entry);
        return until != null && now - until < 0;
    }

    private CompletableFuture<BudgetPeers.Grant> draw(String home, String account, double needed, double ahead) {
        if (home.equals(self)) {
            return CompletableFuture.completedFuture(homes.draw(account, needed, ahead));
        }
        return peers.draw(home, account, needed, ahead).whenComplete((drawn, failure) -> {
            if (failure != null) {
                noteSilent(home, account, failure);
            }
        });
    }

    private void noteSilent(String home, String account, Throwable failure) {
        long now = time.monotonicNanos();
        if (!isSilent(home, now)) {
            logger.atInfo()
                    .with(LogKeys.PEER, home)
                    .log(
                            "home of account %s does not answer, passed over for %d ms: %s",
                            account, SILENT_PAUSE.toMillis(), Failures.unwrap(failure));
        }
        silentUntilNanos.put(home, now + SILENT_PAUSE.toNanos());
    }

    private void giveBackTo(String home, String account, double tokens) {
        if (home.equals(self)) {
            homes.returnTokens(account, tokens);
        } else {
            peers.returnTokens(home, account, tokens);
        }
    }
}
