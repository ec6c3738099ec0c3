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
 * The tokens of one account that an entry has drawn and not spent yet, and the requests that wait for more.
 *
 * <p>One draw is under way at a time; it goes from home to home until the waiting requests have their tokens, to the
 * next one also when a home is slow to answer. When all homes together have too few, what waits is refused at once,
 * and what was drawn goes back.
 *
 * <p>Created by {@link AccountBudgets}; guarded by its own lock.
 */
final class AccountDraws {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Draws that follow each other sooner ask for the requests to come as well. */
    private static final Duration FREQUENT = Duration.ofMillis(150);
    /** Time after which tokens that were drawn go back; homes count on it. */
    private static final Duration KEPT = Duration.ofMillis(500);
    /** Homes that had too few tokens are left alone for so long. */
    private static final Duration EMPTY_PAUSE = Duration.ofMillis(200);
    /** The earliest time that a refused caller is told to come back at. */
    private static final Duration MIN_RETRY = Duration.ofMillis(100);
    /** The pause when no home answers; one mostly restarts within it. */
    private static final Duration UNANSWERED_PAUSE = Duration.ofMillis(500);

    /** Time after which the next home is asked beside one that has not answered yet. */
    private static final Duration SLOW = Duration.ofMillis(80);

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

    /** Asks a home for tokens. */
    @FunctionalInterface
    interface Draw {
        CompletableFuture<BudgetPeers.Grant> from(String home, String account, double needed, double ahead);
    }

    /** Gives tokens back to a home. */
    @FunctionalInterface
    interface GiveBack {
        void to(String home, String account, double tokens);
    }

    /** A request that waits for its tokens. */
    private record Waiting(double cost, CompletableFuture<Optional<AccountBudgets.Shortage>> answer) {}

    /** A request's answer, given once no lock is held. */
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

    /** Hands back what has been here for a while, unless a draw is under way. */
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

    /** Asks the next home, if the draw needs one; ends the draw when none is left and all have answered. */
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

    /** A home that does not answer, or gains nothing for now, is made up for by the deputy. */
    private void addDeputy() {
        deputy.apply(account).filter(asked::add).ifPresent(untried::add);
    }

    /** Tokens for the requests to come: as many as since the last draw, unless that was some time ago. */
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
