package io.parsleycleat.core.request.serve;

import com.codahale.metrics.Timer;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.routing.SelectionRequest;
import io.parsleycleat.core.request.trace.RequestTrace;
import io.parsleycleat.core.version.configuration.keys.AccessRules;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.run.Header;
import io.parsleycleat.wire.run.ServiceTarget;
import io.parsleycleat.wire.run.Start;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * Serves requests to plain services.
 *
 * <p>Created once an entry; safe to share between threads.
 */
final class ServiceFlow {
    /** Path below which the routes to plain services stand. */
    static final String PATH_PREFIX = "/services/";

    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Tokens that one call of a plain service takes from its account's budget. */
    private static final int TOKENS_PER_CALL = 1;

    private final EntryContext context;

    ServiceFlow(EntryContext context) {
        this.context = context;
    }

    /** Serves one request. */
    void handle(CallerRequest request, OpenRequest exchange, RequestTrace trace) {
        context.authenticate(request)
                .flatMap(key -> plan(key, request))
                .peekLeft(refusal -> context.refuse(exchange, trace, refusal))
                .peek(plan -> admit(plan, exchange, trace));
    }

    /** What is known of a call once its caller and route are. */
    private record Plan(
            RequestConfiguration configuration,
            Route route,
            CallerRequest request,
            String upstreamPath,
            String idempotencyKey) {
        boolean idempotent() {
            return configuration.idempotent();
        }
    }

    private Either<Refusal, Plan> plan(Optional<Key> key, CallerRequest request) {
        String rest = request.uri().substring(PATH_PREFIX.length());
        int end = endOfRouteId(rest);
        String routeId = rest.substring(0, end);
        String tail = rest.substring(end);
        String path = tail.startsWith("/") ? tail : "/" + tail;
        return AccessRules.route(context.configuration().current(), key.orElse(null), routeId)
                .flatMap(access -> access.target().getService().isEmpty()
                        ? Either.left(Refusal.of(ResultCode.ROUTE_UNKNOWN))
                        : Either.right(newPlan(access, key, request, path)))
                .flatMap(this::checkIdempotencyKey);
    }

    private Plan newPlan(AccessRules.Access<Route> access, Optional<Key> key, CallerRequest request, String path) {
        Route route = access.target();
        RequestConfiguration configuration = new RequestConfiguration(
                access.account(),
                key,
                isIdempotent(route, request.method()),
                context.keys()::refusal,
                () -> isIdempotent(newest(route), request.method()));
        return new Plan(
                configuration,
                route,
                request,
                path,
                request.header(IDEMPOTENCY_KEY).orElse(""));
    }

    private static int endOfRouteId(String rest) {
        return (int) rest.chars().takeWhile(c -> c != '/' && c != '?').count();
    }

    /** Returns a route as it is now, or as it was when it leads to the service no longer. */
    private Route newest(Route route) {
        return context.configuration()
                .current()
                .route(route.getId())
                .filter(now -> now.getService().equals(route.getService()))
                .orElse(route);
    }

    private static boolean isIdempotent(Route route, String method) {
        return switch (route.getIdempotency()) {
            case IDEMPOTENCY_RULE_ALL_METHODS -> true;
            case IDEMPOTENCY_RULE_NO_METHODS -> false;
            default -> SAFE_METHODS.contains(method);
        };
    }

    private Either<Refusal, Plan> checkIdempotencyKey(Plan plan) {
        if (plan.idempotent()) {
            return Either.right(plan);
        }
        return context.checkIdempotencyKey(plan.idempotencyKey()).map(key -> plan);
    }

    private void admit(Plan plan, OpenRequest exchange, RequestTrace trace) {
        trace.add(
                "allowed",
                "account " + plan.configuration().account().getId() + ", route "
                        + plan.route().getId());
        context.admit(
                exchange,
                trace,
                plan.configuration().account(),
                TOKENS_PER_CALL,
                admission -> run(plan, admission, exchange, trace));
    }

    private void run(Plan plan, Admission admission, OpenRequest exchange, RequestTrace trace) {
        Timer.Context timer = context.metrics().timer("entry.services").time();
        ServiceSink sink = new ServiceSink(exchange, trace.requestId(), end -> {
            timer.stop();
            context.count(end.getCode());
            boolean notRun =
                    ResultCode.ofNumber(end.getCode()).map(ResultCode::isNotRun).orElse(false);
            admission.end(notRun ? 0 : TOKENS_PER_CALL);
        });
        RequestRun run = new RequestRun(
                context.runContext(),
                plan.configuration(),
                start(plan, admission, trace),
                admission::renew,
                selection(plan, context.remaining(exchange)),
                trace,
                sink);
        if (plan.idempotent()) {
            exchange.onGone(run::cancel);
        }
        exchange.onStop(run::stop);
        run.start();
    }

    private Start start(Plan plan, Admission admission, RequestTrace trace) {
        CallerRequest request = plan.request();
        ServiceTarget.Builder target = ServiceTarget.newBuilder()
                .setService(plan.route().getService())
                .setMethod(request.method())
                .setPath(plan.upstreamPath());
        HeaderRules.toUpstream(request.headers())
                .forEach(h -> target.addHeaders(
                        Header.newBuilder().setName(h.getKey()).setValue(h.getValue())));
        return plan.configuration()
                .start()
                .setRequestId(trace.requestId())
                .setService(target)
                .setBody(request.body())
                .setIdempotencyKey(plan.idempotencyKey())
                .setFingerprint(Fingerprints.of(
                        plan.configuration().account().getId(),
                        request.method() + " " + plan.route().getId() + " " + plan.upstreamPath(),
                        request.body()))
                .setEscrowEpoch(admission.epoch())
                .build();
    }

    private static SelectionRequest selection(Plan plan, Duration deadline) {
        String affinity =
                plan.idempotent() ? "" : plan.configuration().account().getId() + "\n" + plan.idempotencyKey();
        return new SelectionRequest(
                plan.configuration().account().getId(),
                plan.configuration().account().getFreeTier(),
                null,
                "",
                plan.route().getService(),
                0,
                affinity,
                Set.of(),
                deadline);
    }
}
