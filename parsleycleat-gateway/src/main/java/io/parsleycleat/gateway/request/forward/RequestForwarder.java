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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Decides for each request of a caller whether it may run, and hands it on.
 *
 * <p>One an entry; safe to share between threads.
 */
public final class RequestForwarder implements CallerService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration RETRY_SOON = Duration.ofMillis(500);

    private final ForwardParts parts;
    private final ConfigurationHolder configuration;
    private final Freshness freshness;
    private final AccountBudgets budgets;
    private final KnowledgeBounds bounds;
    private final BooleanSupplier stopping;
    private final DoubleSupplier random;
    private final AtomicInteger open = new AtomicInteger();

    /**
     * How old the configuration may be.
     *
     * @param keys the age from which no request with a key is run, since its key may have been withdrawn
     * @param absence the age from which nothing is said to be unknown, since it may have been added
     */
    public record KnowledgeBounds(Duration keys, Duration absence) {}

    /** A request that may run, with what the configuration says of it. */
    record Admitted(ForwardRequest request, RoutingTable table, Route route, @Nullable Account account, double cost) {}

    /** Creates the service that an entry's callers use. */
    public RequestForwarder(
            ForwardParts parts,
            ConfigurationHolder configuration,
            Freshness freshness,
            AccountBudgets budgets,
            KnowledgeBounds bounds,
            BooleanSupplier stopping,
            DoubleSupplier random) {
        this.parts = parts;
        this.configuration = configuration;
        this.freshness = freshness;
        this.budgets = budgets;
        this.bounds = bounds;
        this.stopping = stopping;
        this.random = random;
    }

    /** Returns how many requests have no whole answer yet. */
    public int openRequests() {
        return open.get();
    }

    /** Returns whether keys may be accepted, as far as the configuration's age tells. */
    public boolean knowsKeys() {
        return freshness.isYoungerThan(bounds.keys());
    }

    @Override
    public void handle(CallerRequest call, CallerExchange exchange) {
        parts.metrics().onRequest();
        Either<Refusal, ForwardRequest> decoded = parts.codec().decode(call);
        if (decoded.isLeft()) {
            refuse(exchange, "", decoded.getLeft());
            return;
        }
        ForwardRequest request = decoded.get();
        Either<Refusal, Admitted> admitted = admit(request);
        if (admitted.isLeft()) {
            refuse(exchange, request.id(), admitted.getLeft());
            return;
        }
        spend(admitted.get(), exchange);
    }

    // Admission

    private Either<Refusal, Admitted> admit(ForwardRequest request) {
        RoutingTable table = configuration.current().orElse(null);
        if (table == null) {
            return Either.left(Refusal.of(ResultCode.NOT_READY).withRetryAfter(RETRY_SOON));
        }
        if (stopping.getAsBoolean()) {
            return Either.left(Refusal.of(ResultCode.PROCESS_STOPPING).withRetryAfter(Duration.ZERO));
        }
        Optional<Route> route = table.route(request.host(), request.path());
        if (route.isEmpty()) {
            return Either.left(unknown(ResultCode.ROUTE_UNKNOWN));
        }
        if (!parts.crashes().maySend(request.fingerprint())) {
            return Either.left(Refusal.of(ResultCode.SUSPECT_REFUSED).withRetryAfter(Duration.ofSeconds(60)));
        }
        if (route.get().open() || !table.needsKeys()) {
            return Either.right(new Admitted(request, table, route.get(), null, 0));
        }
        return account(request, table)
                .map(account -> new Admitted(request, table, route.get(), account, cost(request, account)));
    }

    private Either<Refusal, Account> account(ForwardRequest request, RoutingTable table) {
        if (!knowsKeys()) {
            return Either.left(Refusal.of(ResultCode.CUT_OFF, "configuration is " + freshness.ageMillis() + " ms old")
                    .withRetryAfter(RETRY_SOON));
        }
        String key = request.key();
        if (key == null) {
            return Either.left(Refusal.of(ResultCode.KEY_MISSING));
        }
        return table.accountOfKey(key)
                .<Either<Refusal, Account>>map(Either::right)
                .orElseGet(() -> Either.left(unknown(ResultCode.KEY_UNKNOWN)));
    }

    /** Forwards a request once the account's budget has its cost, which homes elsewhere may have to tell. */
    private void spend(Admitted admitted, CallerExchange exchange) {
        Account account = admitted.account();
        if (account == null) {
            forward(admitted, exchange);
            return;
        }
        open.incrementAndGet();
        long askedNanos = parts.time().monotonicNanos();
        budgets.spend(account, admitted.cost())
                .whenCompleteAsync(
                        (shortage, failure) -> {
                            open.decrementAndGet();
                            parts.metrics().onBudget(millisSince(askedNanos));
                            if (failure != null) {
                                logger.atSevere().withCause(failure).log("the budget of %s failed", account.name());
                                refuse(exchange, admitted.request().id(), budgetRefusal(admitted, 0, RETRY_SOON));
                            } else {
                                shortage.ifPresentOrElse(
                                        s -> refuse(
                                                exchange,
                                                admitted.request().id(),
                                                budgetRefusal(admitted, s.drawnTokens(), s.retryAfter())),
                                        () -> forwardPaid(admitted, account, exchange));
                            }
                        },
                        parts.loop());
    }

    /** Looks once more whether the key is in force, since its withdrawal may have come while the budget was asked. */
    private void forwardPaid(Admitted admitted, Account account, CallerExchange exchange) {
        RoutingTable newest = configuration.current().orElse(admitted.table());
        account(admitted.request(), newest)
                .peek(a -> forward(admitted, exchange))
                .peekLeft(refusal -> {
                    budgets.refund(account, admitted.cost());
                    refuse(exchange, admitted.request().id(), refusal);
                });
    }

    private static Refusal budgetRefusal(Admitted admitted, double drawn, Duration wait) {
        Account account = Objects.requireNonNull(admitted.account());
        return Refusal.of(
                        ResultCode.RATE_EXCEEDED,
                        "account " + account.name() + " has " + (long) drawn + " of " + (long) admitted.cost())
                .withRetryAfter(wait);
    }

    private long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(parts.time().monotonicNanos() - nanos);
    }

    private static double cost(ForwardRequest request, Account account) {
        if (!account.countsTokens()) {
            return 1;
        }
        ForwardRequest.TokenCounts tokens = request.tokens();
        return tokens == null ? account.plainTokens() : tokens.sum();
    }

    /** Something unknown may have been added since the configuration was read, so a late reader does not deny it. */
    private Refusal unknown(ResultCode code) {
        if (freshness.isYoungerThan(bounds.absence())) {
            return Refusal.of(code);
        }
        return Refusal.of(
                        ResultCode.CUT_OFF,
                        code.meaning() + " The configuration is " + freshness.ageMillis() + " ms old.")
                .withRetryAfter(RETRY_SOON);
    }

    // Forwarding

    private void forward(Admitted admitted, CallerExchange exchange) {
        open.incrementAndGet();
        String service = admitted.route().serviceAt(random.getAsDouble());
        parts.retries().onRequest(service);
        Forwarding forwarding = new Forwarding(parts, admitted, service, exchange, ran -> {
            open.decrementAndGet();
            Account account = admitted.account();
            if (!ran && account != null) {
                budgets.refund(account, admitted.cost());
            }
        });
        parts.loop().execute(forwarding::start);
    }

    private void refuse(CallerExchange exchange, String id, Refusal refusal) {
        parts.metrics().onEnd(refusal.code(), 0);
        RoutingTable table = configuration.current().orElse(null);
        logger.atInfo()
                .with(LogKeys.REQUEST, id)
                .with(LogKeys.CODE, refusal.code().number())
                .log(
                        "refused: %s; configuration %d, %d ms old",
                        refusal.detail(), table == null ? -1 : table.version(), freshness.ageMillis());
        parts.codec().refuse(exchange, id, refusal);
    }
}
