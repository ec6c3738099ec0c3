package io.parsleycleat.gateway.request.limits;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.routes.Account;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Holds the tokens of one account that this entry has drawn and not spent, and the requests that wait for more.
 *
 * <p>A home is an entry that owns a part of the budget. One draw is in progress at a time: it requests tokens from one
 * home after the other until the waiting requests are charged, and from the next one also if a home is slow to respond.
 * If all homes together have too few tokens, the waiting requests are refused and the drawn tokens are returned.
 *
 * <p>Created by {@link AccountBudgets}; guarded by its own lock.
 */
final class AccountDraws {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Interval between draws below which a draw also requests tokens for further requests. */
    private static final Duration FREQUENT_DRAW_INTERVAL = Duration.ofMillis(150);
    /** Time after the last draw at which unspent tokens are returned; homes depend on it. */
    private static final Duration UNSPENT_RETENTION = Duration.ofMillis(500);
    /** Time without a new draw for costs that the homes together could not cover. */
    private static final Duration SHORTAGE_PAUSE = Duration.ofMillis(200);
    /** Lower bound of the retry delay of a refused request. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
    /** Pause and retry delay when no home gains tokens or responds; a home usually restarts within this time. */
    private static final Duration NO_GAIN_PAUSE = Duration.ofMillis(500);

    /** Time without a response after which the next home is requested as well. */
    private static final Duration SLOW_HOME_DELAY = Duration.ofMillis(80);

    /** Tolerance for rounding errors when a cost is compared with the tokens, in tokens. */
    private static final double ROUNDING_TOLERANCE_TOKENS = 1e-6;

    private final Function<Account, List<String>> homes;
    private final Function<Account, Optional<String>> deputy;
    private final HomeDraw homeDraw;
    private final HomeReturn homeReturn;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private final Deque<WaitingRequest> waiting = new ArrayDeque<>();
    private final List<String> untriedHomes = new ArrayList<>();
    private final Set<String> requestedHomes = new HashSet<>();
    private Account account;
    private double tokens;
    private double grantedTokens;
    private double gainPerSecond;
    private double spentTokensSinceDraw;
    private long lastDrawNanos;
    private @Nullable String lastGrantingHome;
    private boolean drawInProgress;
    private int pendingResponses;
    private long drawCount;
    private double minRefusedCost = Double.MAX_VALUE;
    private long refuseUntilNanos;

    /** Requests tokens from a home. */
    @FunctionalInterface
    interface HomeDraw {
        CompletableFuture<BudgetPeers.Grant> draw(String home, String account, double needed, double prefetch);
    }

    /** Returns tokens to a home. */
    @FunctionalInterface
    interface HomeReturn {
        void returnTokens(String home, String account, double tokens);
    }

    /** A request that waits to be charged. */
    private record WaitingRequest(double cost, CompletableFuture<Optional<AccountBudgets.Shortage>> result) {}

    /** The result of a waiting request, which is completed only after the lock is released. */
    private record Completion(WaitingRequest request, Optional<AccountBudgets.Shortage> shortage) {
        void complete() {
            request.result().complete(shortage);
        }
    }

    AccountDraws(
            Account account,
            Function<Account, List<String>> homes,
            Function<Account, Optional<String>> deputy,
            HomeDraw homeDraw,
            HomeReturn homeReturn,
            TimeSource time,
            ScheduledExecutorService scheduler) {
        this.account = account;
        this.homes = homes;
        this.deputy = deputy;
        this.homeDraw = homeDraw;
        this.homeReturn = homeReturn;
        this.time = time;
        this.scheduler = scheduler;
        this.lastDrawNanos = time.monotonicNanos();
        this.refuseUntilNanos = lastDrawNanos;
    }

    synchronized void setAccount(Account newAccount) {
        if (newAccount.ratePerSecond() != account.ratePerSecond() || newAccount.burst() != account.burst()) {
            logger.atInfo().log(
                    "account %s has a rate of %.0f and a burst of %.0f, before %.0f and %.0f",
                    newAccount.name(),
                    newAccount.ratePerSecond(),
                    newAccount.burst(),
                    account.ratePerSecond(),
                    account.burst());
        }
        account = newAccount;
    }

    CompletableFuture<Optional<AccountBudgets.Shortage>> spend(double cost) {
        CompletableFuture<Optional<AccountBudgets.Shortage>> result = new CompletableFuture<>();
        synchronized (this) {
            if (waiting.isEmpty() && tokens + ROUNDING_TOLERANCE_TOKENS >= cost) {
                charge(cost);
                return CompletableFuture.completedFuture(Optional.empty());
            }
            long now = time.monotonicNanos();
            if (cost >= minRefusedCost && now - refuseUntilNanos < 0) {
                Duration left = Duration.ofNanos(refuseUntilNanos - now);
                return CompletableFuture.completedFuture(Optional.of(new AccountBudgets.Shortage(tokens, left)));
            }
            if (drawInProgress) {
                waiting.addLast(new WaitingRequest(cost, result));
                return result;
            }
            startDraw(homes.apply(account));
            waiting.addLast(new WaitingRequest(cost, result));
        }
        drawFromNextHome();
        return result;
    }

    synchronized void refund(double cost) {
        tokens += cost;
        spentTokensSinceDraw = Math.max(0, spentTokensSinceDraw - cost);
    }

    /** Ends the waiting requests as charged, because the account has no limit any more. */
    void release() {
        List<Completion> completions;
        synchronized (this) {
            completions = waiting.stream()
                    .map(w -> new Completion(w, Optional.empty()))
                    .toList();
            waiting.clear();
            drawInProgress = false;
        }
        completions.forEach(Completion::complete);
    }

    /** Returns the unspent tokens if the last draw was some time ago, unless a draw is in progress. */
    void returnUnspent() {
        String home;
        double unspent;
        synchronized (this) {
            home = lastGrantingHome;
            unspent = tokens;
            if (drawInProgress || unspent <= 0 || home == null || nanosSinceLastDraw() < UNSPENT_RETENTION.toNanos()) {
                return;
            }
            tokens = 0;
        }
        homeReturn.returnTokens(home, account.name(), unspent);
    }

    /** Requests tokens from the next home; ends the draw when none is left and all have responded. */
    private void drawFromNextHome() {
        String home;
        double needed;
        double prefetch;
        long drawNumber;
        synchronized (this) {
            if (!drawInProgress || (untriedHomes.isEmpty() && pendingResponses > 0)) {
                return;
            }
            home = untriedHomes.isEmpty() ? null : untriedHomes.remove(0);
            pendingResponses += home == null ? 0 : 1;
            needed = Math.max(
                    0, waiting.stream().mapToDouble(WaitingRequest::cost).sum() - tokens);
            prefetch = prefetchTokens();
            drawNumber = drawCount;
        }
        if (home == null) {
            refuseWaiting();
            return;
        }
        CompletableFuture<BudgetPeers.Grant> response = requestTokens(home, needed, prefetch);
        response.whenComplete((grant, failure) -> onResponse(home, grant));
        if (!response.isDone()) {
            scheduler.schedule(
                    () -> drawFromNextHomeIfSlow(drawNumber, response),
                    SLOW_HOME_DELAY.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void drawFromNextHomeIfSlow(long drawNumber, CompletableFuture<BudgetPeers.Grant> response) {
        boolean underWay;
        synchronized (this) {
            underWay = drawInProgress && drawCount == drawNumber && !response.isDone();
        }
        if (underWay) {
            drawFromNextHome();
        }
    }

    private void startDraw(List<String> firstHomes) {
        drawInProgress = true;
        drawCount++;
        grantedTokens = 0;
        gainPerSecond = 0;
        untriedHomes.clear();
        requestedHomes.clear();
        firstHomes.stream().filter(requestedHomes::add).forEach(untriedHomes::add);
    }

    /** Requests tokens from a home; one that cannot be asked counts as one that does not respond. */
    private CompletableFuture<BudgetPeers.Grant> requestTokens(String home, double needed, double prefetch) {
        try {
            return homeDraw.draw(home, account.name(), needed, prefetch);
        } catch (RuntimeException e) {
            logger.atSevere()
                    .withCause(e)
                    .with(LogKeys.PEER, home)
                    .log("cannot ask a home of account %s", account.name());
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Adds the deputy, which replaces a home that does not respond or does not gain tokens. */
    private void addDeputy() {
        deputy.apply(account).filter(requestedHomes::add).ifPresent(untriedHomes::add);
    }

    /** Returns the tokens to draw for further requests: those spent since the last draw, if that was recent. */
    private double prefetchTokens() {
        return nanosSinceLastDraw() < FREQUENT_DRAW_INTERVAL.toNanos() ? spentTokensSinceDraw : 0;
    }

    private void onResponse(String home, BudgetPeers.@Nullable Grant grant) {
        try {
            applyResponse(home, grant);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("draw for account %s failed, refused", account.name());
            refuseWaiting();
        }
    }

    private void applyResponse(String home, BudgetPeers.@Nullable Grant grant) {
        List<Completion> completions;
        synchronized (this) {
            pendingResponses--;
            if (grant == null || grant.tokensPerSecond() <= 0) {
                addDeputy();
            }
            if (grant != null) {
                tokens += grant.tokens();
                grantedTokens += grant.tokens();
                gainPerSecond += grant.tokensPerSecond();
                lastGrantingHome = grant.tokens() > 0 ? home : lastGrantingHome;
            }
            completions = chargeWaiting();
            if (drawInProgress && waiting.isEmpty()) {
                drawInProgress = false;
                lastDrawNanos = time.monotonicNanos();
                spentTokensSinceDraw = completions.stream()
                        .mapToDouble(a -> a.request().cost())
                        .sum();
            }
        }
        completions.forEach(Completion::complete);
        drawFromNextHome();
    }

    private List<Completion> chargeWaiting() {
        List<Completion> completions = new ArrayList<>();
        for (WaitingRequest w = waiting.peekFirst();
                w != null && tokens + ROUNDING_TOLERANCE_TOKENS >= w.cost();
                w = waiting.peekFirst()) {
            waiting.removeFirst();
            charge(w.cost());
            completions.add(new Completion(w, Optional.empty()));
        }
        return completions;
    }

    private void refuseWaiting() {
        List<Completion> completions;
        String home;
        double unspent;
        synchronized (this) {
            if (!drawInProgress) {
                return;
            }
            Duration retryDelay =
                    retryDelay(waiting.isEmpty() ? 0 : waiting.getFirst().cost() - tokens);
            AccountBudgets.Shortage shortage = new AccountBudgets.Shortage(tokens, retryDelay);
            completions = waiting.stream()
                    .map(w -> new Completion(w, Optional.of(shortage)))
                    .toList();
            minRefusedCost =
                    waiting.stream().mapToDouble(WaitingRequest::cost).min().orElse(Double.MAX_VALUE);
            refuseUntilNanos = time.monotonicNanos() + (gainPerSecond > 0 ? SHORTAGE_PAUSE : NO_GAIN_PAUSE).toNanos();
            waiting.clear();
            drawInProgress = false;
            home = lastGrantingHome;
            unspent = grantedTokens > 0 ? tokens : 0;
            tokens -= unspent;
        }
        completions.forEach(Completion::complete);
        if (home != null && unspent > 0) {
            homeReturn.returnTokens(home, account.name(), unspent);
        }
    }

    private Duration retryDelay(double missingTokens) {
        if (gainPerSecond <= 0) {
            return NO_GAIN_PAUSE;
        }
        long millis = (long) (TimeUnit.SECONDS.toMillis(1) * Math.max(0, missingTokens) / gainPerSecond);
        return Duration.ofMillis(Math.max(MIN_RETRY_DELAY.toMillis(), millis));
    }

    private void charge(double cost) {
        tokens = Math.max(0, tokens - cost);
        spentTokensSinceDraw += cost;
    }

    private long nanosSinceLastDraw() {
        return time.monotonicNanos() - lastDrawNanos;
    }
}
