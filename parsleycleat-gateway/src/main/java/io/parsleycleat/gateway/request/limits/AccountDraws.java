package io.parsleycleat.gateway.request.limits;

import com.google.common.flogger.FluentLogger;
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
    private static final Duration FREQUENT = Duration.ofMillis(150);
    /** Time after the last draw at which unspent tokens are returned; homes depend on it. */
    private static final Duration KEPT = Duration.ofMillis(500);
    /** Time without a new draw for costs that the homes together could not cover. */
    private static final Duration EMPTY_PAUSE = Duration.ofMillis(200);
    /** Lower bound of the retry delay of a refused request. */
    private static final Duration MIN_RETRY = Duration.ofMillis(100);
    /** Pause and retry delay when no home gains tokens or responds; a home usually restarts within this time. */
    private static final Duration UNANSWERED_PAUSE = Duration.ofMillis(500);

    /** Time without a response after which the next home is requested as well. */
    private static final Duration SLOW = Duration.ofMillis(80);

    /** Tolerance for rounding errors when a cost is compared with the tokens, in tokens. */
    private static final double ROUNDING = 1e-6;

    private final Function<Account, List<String>> homes;
    private final Function<Account, Optional<String>> deputy;
    private final Draw draw;
    private final GiveBack handBack;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final List<String> untried = new ArrayList<>();
    private final Set<String> asked = new HashSet<>();
    private Account account;
    private double tokens;
    private double gained;
    private double perSecond;
    private double spentSinceDraw;
    private long drawnNanos;
    private @Nullable String lastHome;
    private boolean drawing;
    private int unanswered;
    private long draws;
    private double refusedCost = Double.MAX_VALUE;
    private long pausedUntilNanos;

    /** Requests tokens from a home. */
    @FunctionalInterface
    interface Draw {
        CompletableFuture<BudgetPeers.Grant> from(String home, String account, double needed, double ahead);
    }

    /** Returns tokens to a home. */
    @FunctionalInterface
    interface GiveBack {
        void to(String home, String account, double tokens);
    }

    /** A request that waits to be charged. */
    private record Waiting(double cost, CompletableFuture<Optional<AccountBudgets.Shortage>> answer) {}

    /** The result of a waiting request, which is completed only after the lock is released. */
    private record Answer(Waiting to, Optional<AccountBudgets.Shortage> shortage) {
        void give() {
            to.answer().complete(shortage);
        }
    }

    AccountDraws(
            Account account,
            Function<Account, List<String>> homes,
            Function<Account, Optional<String>> deputy,
            Draw draw,
            GiveBack handBack,
            TimeSource time,
            ScheduledExecutorService scheduler) {
        this.account = account;
        this.homes = homes;
        this.deputy = deputy;
        this.draw = draw;
        this.handBack = handBack;
        this.time = time;
        this.scheduler = scheduler;
        this.drawnNanos = time.monotonicNanos();
        this.pausedUntilNanos = drawnNanos;
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
        CompletableFuture<Optional<AccountBudgets.Shortage>> answer = new CompletableFuture<>();
        synchronized (this) {
            if (waiting.isEmpty() && tokens + ROUNDING >= cost) {
                take(cost);
                return CompletableFuture.completedFuture(Optional.empty());
            }
            long now = time.monotonicNanos();
            if (cost >= refusedCost && now - pausedUntilNanos < 0) {
                Duration left = Duration.ofNanos(pausedUntilNanos - now);
                return CompletableFuture.completedFuture(Optional.of(new AccountBudgets.Shortage(tokens, left)));
            }
            waiting.addLast(new Waiting(cost, answer));
            if (drawing) {
                return answer;
            }
            drawing = true;
            draws++;
            gained = 0;
            perSecond = 0;
            untried.clear();
            asked.clear();
            addUntried();
        }
        drawNext();
        return answer;
    }

    synchronized void giveBack(double cost) {
        tokens += cost;
        spentSinceDraw = Math.max(0, spentSinceDraw - cost);
    }

    /** Returns the unspent tokens if the last draw was some time ago, unless a draw is in progress. */
    void handBackUnspent() {
        String home;
        double unspent;
        synchronized (this) {
            home = lastHome;
            unspent = tokens;
            if (drawing || unspent <= 0 || home == null || sinceDraw() < KEPT.toNanos()) {
                return;
            }
            tokens = 0;
        }
        handBack.to(home, account.name(), unspent);
    }

    /** Requests tokens from the next home; ends the draw when none is left and all have responded. */
    private void drawNext() {
        String home;
        double needed;
        double ahead;
        long current;
        synchronized (this) {
            if (!drawing || (untried.isEmpty() && unanswered > 0)) {
                return;
            }
            home = untried.isEmpty() ? null : untried.remove(0);
            unanswered += home == null ? 0 : 1;
            needed = Math.max(0, waiting.stream().mapToDouble(Waiting::cost).sum() - tokens);
            ahead = ahead();
            current = draws;
        }
        if (home == null) {
            refuseWaiting();
            return;
        }
        CompletableFuture<BudgetPeers.Grant> answer = draw.from(home, account.name(), needed, ahead);
        answer.whenComplete((drawn, failure) -> drawn(home, drawn));
        if (!answer.isDone()) {
            scheduler.schedule(() -> drawFurther(current, answer), SLOW.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void drawFurther(long draw, CompletableFuture<BudgetPeers.Grant> slow) {
        boolean underWay;
        synchronized (this) {
            underWay = drawing && draws == draw && !slow.isDone();
        }
        if (underWay) {
            drawNext();
        }
    }

    private void addUntried() {
        homes.apply(account).stream().filter(asked::add).forEach(untried::add);
    }

    /** Adds the deputy, which replaces a home that does not respond or does not gain tokens. */
    private void addDeputy() {
        deputy.apply(account).filter(asked::add).ifPresent(untried::add);
    }

    /** Returns the tokens to draw for further requests: those spent since the last draw, if that was recent. */
    private double ahead() {
        return sinceDraw() < FREQUENT.toNanos() ? spentSinceDraw : 0;
    }

    private void drawn(String home, BudgetPeers.@Nullable Grant drawn) {
        List<Answer> answers;
        synchronized (this) {
            unanswered--;
            if (drawn == null || drawn.tokensPerSecond() <= 0) {
                addDeputy();
            }
            if (drawn != null) {
                tokens += drawn.tokens();
                gained += drawn.tokens();
                perSecond += drawn.tokensPerSecond();
                lastHome = drawn.tokens() > 0 ? home : lastHome;
            }
            answers = serveWaiting();
            if (drawing && waiting.isEmpty()) {
                drawing = false;
                drawnNanos = time.monotonicNanos();
                spentSinceDraw =
                        answers.stream().mapToDouble(a -> a.to().cost()).sum();
            }
        }
        answers.forEach(Answer::give);
        drawNext();
    }

    private List<Answer> serveWaiting() {
        List<Answer> answers = new ArrayList<>();
        for (Waiting w = waiting.peekFirst(); w != null && tokens + ROUNDING >= w.cost(); w = waiting.peekFirst()) {
            waiting.removeFirst();
            take(w.cost());
            answers.add(new Answer(w, Optional.empty()));
        }
        return answers;
    }

    private void refuseWaiting() {
        List<Answer> answers;
        String home;
        double unspent;
        synchronized (this) {
            if (!drawing) {
                return;
            }
            Duration wait = wait(waiting.isEmpty() ? 0 : waiting.getFirst().cost() - tokens);
            AccountBudgets.Shortage shortage = new AccountBudgets.Shortage(tokens, wait);
            answers = waiting.stream()
                    .map(w -> new Answer(w, Optional.of(shortage)))
                    .toList();
            refusedCost = waiting.stream().mapToDouble(Waiting::cost).min().orElse(Double.MAX_VALUE);
            pausedUntilNanos = time.monotonicNanos() + (perSecond > 0 ? EMPTY_PAUSE : UNANSWERED_PAUSE).toNanos();
            waiting.clear();
            drawing = false;
            home = lastHome;
            unspent = gained > 0 ? tokens : 0;
            tokens -= unspent;
        }
        if (home != null && unspent > 0) {
            handBack.to(home, account.name(), unspent);
        }
        answers.forEach(Answer::give);
    }

    private Duration wait(double missing) {
        if (perSecond <= 0) {
            return UNANSWERED_PAUSE;
        }
        long millis = (long) (TimeUnit.SECONDS.toMillis(1) * Math.max(0, missing) / perSecond);
        return Duration.ofMillis(Math.max(MIN_RETRY.toMillis(), millis));
    }

    private void take(double cost) {
        tokens = Math.max(0, tokens - cost);
        spentSinceDraw += cost;
    }

    private long sinceDraw() {
        return time.monotonicNanos() - drawnNanos;
    }
}
