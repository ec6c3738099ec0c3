package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.connection.caller.CallerService;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.request.limits.AccountBudgets;
import io.parsleycleat.gateway.version.follow.Freshness;
import io.parsleycleat.gateway.version.routes.Account;
import io.parsleycleat.gateway.version.routes.ConfigurationHolder;
import io.parsleycleat.gateway.version.routes.Route;
import io.parsleycleat.gateway.version.routes.RoutingTable;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Admits or refuses each caller's request and forwards the admitted ones.
 *
 * <p>A request is admitted if its route and key are known, it is not quarantined for crashing upstreams, and the
 * account's budget covers its cost. The budget of an account is divided among one or more entries, its homes.
 *
 * <p>Created once per entry; safe to share between threads.
 */
public final class RequestForwarder implements CallerService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);
    /** How long before the caller's deadline the final answer is sent. */
    private static final Duration DEADLINE_MARGIN = Duration.ofMillis(20);

    /** Refuses a request that crashes upstreams; callers do not come back soon. */
    static final Refusal QUARANTINE_REFUSAL =
            Refusal.of(ResultCode.SUSPECT_REFUSED).withRetryAfter(Duration.ofSeconds(60));

    private final ForwardingContext context;
    private final ConfigurationHolder configuration;
    private final Freshness freshness;
    private final AccountBudgets budgets;
    private final StalenessLimits stalenessLimits;
    private final BooleanSupplier stopping;
    private final DoubleSupplier random;
    private final OpenRequests openRequests;

    /**
     * Limits on the age of the configuration.
     *
     * @param maxAgeForKeys the age from which requests with a key are refused, since the key may have been withdrawn
     * @param maxAgeForUnknown the age from which no route or key is reported as unknown, since it may have been added
     */
    public record StalenessLimits(Duration maxAgeForKeys, Duration maxAgeForUnknown) {}

    /**
     * An admitted request with the parts of the configuration that apply to it.
     *
     * @param tableAgeMillis the age of the knowledge that the table is the newest one
     * @param account the account to which the key belongs; null for requests without a key
     * @param cost what the request takes from the account's budget, in tokens or requests
     */
    record Admitted(
            ForwardRequest request,
            RoutingTable table,
            int tableAgeMillis,
            Route route,
            @Nullable Account account,
            double cost) {
        /** Returns the priority of the account, or that of the route if the account has none. */
        int priority() {
            return account == null ? route.priority() : account.ownPriority().orElse(route.priority());
        }

        /** Returns the time within which the caller gets its final answer, by the configuration of its admission. */
        Duration timeLimit() {
            return timeLimit(route);
        }

        /** Returns the time within which the caller would get its final answer on a route. */
        Duration timeLimit(Route any) {
            Duration ofRoute = any.timeout().minus(DEADLINE_MARGIN);
            return callerTimeLimit().filter(l -> l.compareTo(ofRoute) < 0).orElse(ofRoute);
        }

        /** Returns the time within which a caller that set a deadline gets its final answer, on any route. */
        Optional<Duration> callerTimeLimit() {
            return request.callerDeadline().map(d -> d.minus(DEADLINE_MARGIN));
        }

        /**
         * Returns the request's route in the newest configuration; the one of its admission if that was dropped since,
         * or if another route has taken its host and path.
         */
        Route newestRoute(ConfigurationHolder configuration) {
            return configuration
                    .current()
                    .filter(t -> t.version() != table.version())
                    .flatMap(t -> t.route(request.host(), request.path()))
                    .filter(r -> r.name().equals(route.name()))
                    .orElse(route);
        }
    }

    /**
     * Creates the forwarder of an entry.
     *
     * @param stopping whether new requests are refused because the process is stopping
     * @param random numbers from 0 to 1 that select a service of a route
     */
    public RequestForwarder(
            ForwardingContext context,
            Freshness freshness,
            AccountBudgets budgets,
            StalenessLimits stalenessLimits,
            BooleanSupplier stopping,
            DoubleSupplier random) {
        this.context = context;
        this.configuration = context.configuration();
        this.freshness = freshness;
        this.budgets = budgets;
        this.stalenessLimits = stalenessLimits;
        this.stopping = stopping;
        this.random = random;
        this.openRequests = new OpenRequests(context, this::recordRefusal);
    }

    /** Returns how many requests are not answered as a whole yet. */
    public int openRequests() {
        return openRequests.count();
    }

    /**
     * Begins a planned stop. From now on only requests that usually end before it does are accepted, and upstreams get
     * no more time than is left.
     */
    public void beginStop(Duration left) {
        openRequests.beginStop(left);
    }

    /** Gives each open request its final answer: a refusal if it has not run, else an error or a cut of its stream. */
    public void endOpenRequests() {
        openRequests.endAll();
    }

    /** Returns whether the configuration is recent enough to accept keys. */
    public boolean canVerifyKeys() {
        return freshness.isYoungerThan(stalenessLimits.maxAgeForKeys());
    }

    @Override
    public void handle(CallerRequest callerRequest, CallerExchange exchange) {
        OpenRequest open = openRequests.add(exchange);
        open.execute(() -> {
            context.metrics().onRequest();
            open.watchCaller();
            context.codec()
                    .decode(callerRequest)
                    .peek(request -> open.identify(request.id()))
                    .flatMap(this::admit)
                    .peek(admitted -> chargeBudget(admitted, open))
                    .peekLeft(open::refuse);
        });
    }

    // Admission

    private Either<Refusal, Admitted> admit(ForwardRequest request) {
        RoutingTable table = configuration.current().orElse(null);
        if (table == null) {
            return Either.left(Refusal.of(ResultCode.NOT_READY).withRetryAfter(DEFAULT_RETRY_AFTER));
        }
        if (stopping.getAsBoolean()) {
            return Either.left(Refusal.of(ResultCode.PROCESS_STOPPING).withRetryAfter(Duration.ZERO));
        }
        Optional<Route> route = table.route(request.host(), request.path());
        if (route.isEmpty()) {
            return Either.left(refuseUnknown(ResultCode.ROUTE_UNKNOWN));
        }
        if (!context.crashWatch().maySend(request.fingerprint(), request.sharedPromptParts())) {
            return Either.left(QUARANTINE_REFUSAL);
        }
        if (route.get().open() || !table.requiresKeys()) {
            return Either.right(new Admitted(request, table, freshness.ageMillis(), route.get(), null, 0));
        }
        return findAccount(request, table)
                .map(account -> new Admitted(
                        request, table, freshness.ageMillis(), route.get(), account, cost(request, account)));
    }

    private Either<Refusal, Account> findAccount(ForwardRequest request, RoutingTable table) {
        if (!canVerifyKeys()) {
            return Either.left(Refusal.of(ResultCode.CUT_OFF, "configuration is " + freshness.ageMillis() + " ms old")
                    .withRetryAfter(DEFAULT_RETRY_AFTER));
        }
        String key = request.key();
        if (key == null) {
            return Either.left(Refusal.of(ResultCode.KEY_MISSING));
        }
        return table.accountOfKey(key)
                .<Either<Refusal, Account>>map(Either::right)
                .orElseGet(() -> Either.left(refuseUnknown(ResultCode.KEY_UNKNOWN)));
    }

    /** Forwards a request once its cost is taken from the account's budget, for which other entries may be asked. */
    private void chargeBudget(Admitted admitted, OpenRequest open) {
        open.admit(admitted);
        if (!open.canEndBeforeStop()) {
            open.refuse(Refusal.of(ResultCode.PROCESS_STOPPING).withRetryAfter(Duration.ZERO));
            return;
        }
        Account account = admitted.account();
        if (account == null) {
            forward(admitted, open);
            return;
        }
        long budgetRequestedNanos = context.time().monotonicNanos();
        budgets.spend(account, admitted.cost())
                .whenCompleteAsync(
                        open.guard((shortage, failure) -> {
                            context.metrics().onBudgetDecided(millisSince(budgetRequestedNanos));
                            if (failure != null) {
                                logger.atSevere().withCause(failure).log(
                                        "budget check failed for account %s", account.name());
                                open.refuse(budgetRefusal(admitted, 0, DEFAULT_RETRY_AFTER));
                            } else {
                                onBudgetDecided(admitted, account, open, shortage);
                            }
                        }),
                        context.loop());
    }

    private void onBudgetDecided(
            Admitted admitted, Account account, OpenRequest open, Optional<AccountBudgets.Shortage> shortage) {
        if (shortage.isPresent()) {
            open.refuse(budgetRefusal(
                    admitted, shortage.get().drawnTokens(), shortage.get().retryAfter()));
        } else if (open.hasEnded()) {
            budgets.refund(account, admitted.cost());
        } else {
            open.refundIfNotRun(() -> budgets.refund(account, admitted.cost()));
            verifyKeyAndForward(admitted, account, open);
        }
    }

    /** Verifies the key again, since it may have been withdrawn or moved while the budget was requested. */
    private void verifyKeyAndForward(Admitted admitted, Account account, OpenRequest open) {
        RoutingTable newest = configuration.current().orElse(admitted.table());
        findAccount(admitted.request(), newest)
                .peek(holder -> {
                    if (holder.name().equals(account.name())) {
                        forward(admitted, open);
                    } else {
                        chargeNewHolder(admitted, account, holder, open);
                    }
                })
                .peekLeft(open::refuse);
    }

    /** Charges the account that holds the key now instead of the one that held it when the request arrived. */
    private void chargeNewHolder(Admitted admitted, Account former, Account holder, OpenRequest open) {
        logger.atInfo()
                .with(LogKeys.REQUEST, open.id())
                .log("key moved from account %s to %s meanwhile", former.name(), holder.name());
        open.refundIfNotRun(() -> {});
        budgets.refund(former, admitted.cost());
        ForwardRequest request = admitted.request();
        chargeBudget(
                new Admitted(
                        request,
                        admitted.table(),
                        admitted.tableAgeMillis(),
                        admitted.route(),
                        holder,
                        cost(request, holder)),
                open);
    }

    private static Refusal budgetRefusal(Admitted admitted, double drawn, Duration wait) {
        Account account = Objects.requireNonNull(admitted.account());
        return Refusal.of(
                        ResultCode.RATE_EXCEEDED,
                        "account " + account.name() + " has " + (long) drawn + " of " + (long) admitted.cost())
                .withRetryAfter(wait);
    }

    private long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(context.time().monotonicNanos() - startNanos);
    }

    private static double cost(ForwardRequest request, Account account) {
        if (!account.countsTokens()) {
            return 1;
        }
        ForwardRequest.TokenCounts tokens = request.tokens();
        return tokens == null ? account.defaultRequestTokens() : tokens.sum();
    }

    /** Refuses an unknown route or key; as cut off if the configuration is old, since it may have been added since. */
    private Refusal refuseUnknown(ResultCode code) {
        if (freshness.isYoungerThan(stalenessLimits.maxAgeForUnknown())) {
            return Refusal.of(code);
        }
        return Refusal.of(
                        ResultCode.CUT_OFF,
                        code.meaning() + " The configuration is " + freshness.ageMillis() + " ms old.")
                .withRetryAfter(DEFAULT_RETRY_AFTER);
    }

    // Forwarding

    private void forward(Admitted admitted, OpenRequest open) {
        ForwardRequest request = admitted.request();
        if (!context.crashWatch().admit(request.fingerprint(), request.sharedPromptParts())) {
            open.refuse(QUARANTINE_REFUSAL);
            return;
        }
        String service = admitted.route().selectService(random.getAsDouble());
        context.retryShare().onRequest(service);
        TriedUpstreams tried = new TriedUpstreams(context, admitted, service, random);
        Forwarding forwarding = new Forwarding(context, admitted, tried, open);
        open.setWork(forwarding::end);
        forwarding.start();
    }

    private void recordRefusal(OpenRequest open, Refusal refusal) {
        context.metrics().onEnd(refusal.code(), 0);
        RoutingTable table = configuration.current().orElse(null);
        logger.atInfo()
                .with(LogKeys.REQUEST, open.id())
                .with(LogKeys.CODE, refusal.code().number())
                .log(
                        "refused: %s; configuration %d, %d ms old",
                        refusal.detail(), table == null ? -1 : table.version(), freshness.ageMillis());
    }
}
