package io.parsleycleat.core.request.serve;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.connection.caller.ErrorAnswer;
import io.parsleycleat.core.process.limits.Reservation;
import io.parsleycleat.core.process.limits.TokenLimiter;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.outcome.IdempotencyKey;
import io.parsleycleat.core.request.trace.RequestTrace;
import io.parsleycleat.core.request.trace.TraceStore;
import io.parsleycleat.core.version.configuration.ConfigurationSource;
import io.parsleycleat.core.version.configuration.keys.KeyGate;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Key;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * What an entry's requests share.
 *
 * <p>Created once by the entry; safe to share between threads.
 */
public record EntryContext(
        ConfigurationSource configuration,
        KeyGate keys,
        TokenLimiter limiter,
        RunContext runContext,
        FreeTierGate freeTier,
        TraceStore traces,
        MetricRegistry metrics,
        Duration startDeadline,
        Duration idempotencyWindow) {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String NO_TOKENS_IN_TIME = "no decision about the tokens before the deadline";
    private static final String BEARER = "Bearer ";
    private static final Duration IDEMPOTENCY_CLOCK_TOLERANCE = Duration.ofSeconds(30);
    private static final Duration READY_RETRY = Duration.ofSeconds(2);

    public EntryContext {
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(startDeadline, "startDeadline");
    }

    /** Returns the key that a request presents, nothing when it presents none, or why it is refused. */
    Either<Refusal, Optional<Key>> authenticate(CallerRequest request) {
        if (!configuration.isReady()) {
            return Either.left(Refusal.of(ResultCode.NOT_READY).withRetryAfter(READY_RETRY));
        }
        Optional<String> header = request.header(HeaderRules.AUTHORIZATION);
        if (header.isEmpty()) {
            return Either.right(Optional.empty());
        }
        if (!header.get().regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return Either.left(Refusal.of(ResultCode.KEY_UNKNOWN, "Authorization must be: Bearer KEY"));
        }
        String presented = header.get().substring(BEARER.length()).trim();
        return keys.check(presented).flatMap(key -> KeyLeakCheck.check(request, presented)
                .<Either<Refusal, Optional<Key>>>map(Either::left)
                .orElseGet(() -> Either.right(Optional.of(key))));
    }

    /** Checks the idempotency key of a request that may not be repeated. */
    Either<Refusal, IdempotencyKey> checkIdempotencyKey(String presented) {
        return IdempotencyKey.check(
                presented, runContext.time().wallMillis(), idempotencyWindow, IDEMPOTENCY_CLOCK_TOLERANCE);
    }

    /**
     * Takes a request's tokens out of its account's budget and passes the request on, or refuses it. The wait for them
     * is part of the time in which the request must start.
     */
    void admit(OpenRequest request, RequestTrace trace, Account account, double tokens, Consumer<Admission> run) {
        Optional<Refusal> busy = account.getFreeTier() ? freeTier.enter() : Optional.empty();
        if (busy.isPresent()) {
            refuse(request, trace, busy.get());
            return;
        }
        AtomicBoolean left = new AtomicBoolean();
        Runnable leave = () -> {
            if (account.getFreeTier() && left.compareAndSet(false, true)) {
                freeTier.leave();
            }
        };
        CompletableFuture<Either<Refusal, Reservation>> decision = new CompletableFuture<>();
        Refusal late =
                Refusal.of(ResultCode.LIMIT_UNAVAILABLE, NO_TOKENS_IN_TIME).withRetryAfter(READY_RETRY);
        Runnable tooLate = () -> decision.complete(Either.left(late));
        ScheduledFuture<?> deadline =
                runContext.scheduler().schedule(tooLate, remaining(request).toMillis(), TimeUnit.MILLISECONDS);
        request.onStop(() -> decision.complete(
                Either.left(Refusal.of(ResultCode.PROCESS_STOPPING).withRetryAfter(READY_RETRY))));
        decision.thenAccept(decided -> request.guard(() -> {
            deadline.cancel(false);
            decided.peekLeft(refusal -> {
                        leave.run();
                        refuse(request, trace, refusal);
                    })
                    .peek(taken -> pass(request, new Admission(taken, () -> reserve(account, tokens), leave), run));
        }));
        reserve(account, tokens).thenAccept(taken -> {
            if (!decision.complete(taken)) {
                taken.peek(unused -> unused.settle(0));
            }
        });
    }

    /** Returns what is left of the time in which a request must start. */
    Duration remaining(OpenRequest request) {
        Duration left = startDeadline.minus(request.age(runContext.time()));
        return left.isNegative() ? Duration.ZERO : left;
    }

    private static void pass(OpenRequest request, Admission admission, Consumer<Admission> run) {
        try {
            run.accept(admission);
        } catch (RuntimeException | Error e) {
            admission.end(0);
            request.fail(e);
        }
    }

    /** Never fails; a refusal says when to come back. */
    private CompletableFuture<Either<Refusal, Reservation>> reserve(Account account, double tokens) {
        try {
            return limiter.reserve(account, tokens).exceptionally(EntryContext::unavailable);
        } catch (RuntimeException e) {
            return CompletableFuture.completedFuture(unavailable(e));
        }
    }

    private static Either<Refusal, Reservation> unavailable(Throwable failure) {
        logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(failure).log("tokens cannot be taken");
        return Either.left(Failures.toRefusal(failure, ResultCode.LIMIT_UNAVAILABLE));
    }

    /** Answers a request with a refusal. */
    void refuse(CallerExchange exchange, RequestTrace trace, Refusal refusal) {
        count(refusal.code().number());
        trace.add("refused", refusal.code().number() + " " + refusal.detail());
        ErrorAnswer.send(exchange, trace.requestId(), refusal);
    }

    /** Counts one answer by its result. */
    void count(int code) {
        metrics.counter("entry.results." + code).inc();
    }
}
