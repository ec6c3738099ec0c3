package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.request.choose.EngineChooser;
import io.parsleycleat.gateway.request.choose.EngineView;
import io.parsleycleat.gateway.version.routes.AdapterId;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import io.parsleycleat.wire.gate.RunProgress;
import io.parsleycleat.wire.gate.StartGrant;
import io.parsleycleat.wire.gate.StartRequest;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Finds an engine for one request: asks the sides of the best engines, one after another, until one grants a start.
 *
 * <p>A side is the process beside an engine that decides when the engine may start a request.
 *
 * <p>Created by {@link Forwarding} for each send to a model engine; used on the event loop.
 */
final class EngineSearch {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_ENGINES_TRIED = 3;
    /** How much later than the requested wait a side's reply may arrive. */
    private static final Duration REPLY_MARGIN = Duration.ofMillis(300);
    /** The shortest wait that is requested from a side, also if the answer will then miss its objective. */
    private static final Duration MIN_GRANT_WAIT = Duration.ofMillis(1_200);
    /** The longest time by which the wait may exceed the objective if the engine is expected to take long. */
    private static final long MAX_WAIT_BEYOND_OBJECTIVE_MILLIS = 1_000;

    /** How long a side that did not reply is not asked again. */
    private static final Duration SILENT_SIDE_PAUSE = Duration.ofSeconds(1);

    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

    private final ForwardingContext context;
    private final OpenRequest open;
    private final Criteria criteria;
    private final Set<String> excluded;
    private final Consumer<GrantedEngine> onGranted;
    private final Consumer<Refusal> onRefused;
    private int enginesTried;
    private int limitedCount;
    private boolean finished;
    private @Nullable Duration shortestRetryAfter;
    private @Nullable Upstream pendingEngine;
    private long pendingTicket;

    /**
     * The request that needs an engine.
     *
     * @param objectiveLeft the time left until the objective of the route; may be negative
     * @param timeLeft the time left until the deadline of the request
     */
    record Criteria(
            String requestId,
            AdapterId adapter,
            ForwardRequest.@Nullable TokenCounts tokens,
            int priority,
            Duration objectiveLeft,
            Duration timeLeft) {}

    /**
     * An engine to which the request may be sent now.
     *
     * @param ticket identifies the start that the engine's side granted; 0 if the side was not asked
     * @param adapterVersion the adapter version that the engine holds; 0 if it is not known
     */
    record GrantedEngine(Upstream engine, long ticket, long adapterVersion) {}

    /**
     * Creates a search; {@link #tryNextEngine} starts it.
     *
     * @param open owns the request
     * @param excluded ids of the engines that are not considered
     */
    EngineSearch(
            ForwardingContext context,
            OpenRequest open,
            Criteria criteria,
            Set<String> excluded,
            Consumer<GrantedEngine> onGranted,
            Consumer<Refusal> onRefused) {
        this.context = context;
        this.open = open;
        this.criteria = criteria;
        this.excluded = new HashSet<>(excluded);
        this.onGranted = onGranted;
        this.onRefused = onRefused;
    }

    /** Asks the side of the best engine of a service that was not tried yet; refuses if none is left. */
    void tryNextEngine(String service) {
        List<EngineChooser.Choice> choices = context.engineChooser()
                .orderByExpectedTime(
                        context.availableUpstreams(service), criteria.adapter(), criteria.priority(), excluded);
        if (choices.isEmpty() || enginesTried >= MAX_ENGINES_TRIED) {
            refuse(service, refusalCode(choices));
            return;
        }
        EngineChooser.Choice choice = choices.get(0);
        excluded.add(choice.engine().id());
        enginesTried++;
        if (context.engineView().isSideUnresponsive(choice.engine())) {
            tryWithoutSide(service, choice.engine());
        } else {
            requestStart(service, choice, limitWait(choices));
        }
    }

    /** Returns how long the request may wait for the best engine's limit before another engine takes it sooner. */
    private Duration limitWait(List<EngineChooser.Choice> choices) {
        EngineChooser.Choice best = choices.get(0);
        Duration longest = grantWait(best);
        if (choices.size() == 1 || enginesTried >= MAX_ENGINES_TRIED) {
            return longest;
        }
        double otherwiseMillis = choices.get(1).expectedMillis() - (best.expectedMillis() - best.limitWaitMillis());
        Duration otherwise = Duration.ofMillis((long) Math.max(0, otherwiseMillis));
        return otherwise.compareTo(longest) < 0 ? otherwise : longest;
    }

    private ResultCode refusalCode(List<EngineChooser.Choice> untried) {
        if (limitedCount > 0 && limitedCount == enginesTried) {
            return ResultCode.UPSTREAM_LIMITED;
        }
        return untried.isEmpty() ? ResultCode.NO_UPSTREAM : ResultCode.QUEUE_FULL;
    }

    /** Cancels the search; a grant that arrives later is given back to its side. */
    void cancel() {
        finished = true;
        Upstream engine = pendingEngine;
        if (engine != null) {
            context.gateClient().sendProgress(engine, pendingTicket, RunProgress.Stage.WITHDRAWN);
        }
    }

    private void requestStart(String service, EngineChooser.Choice choice, Duration limitWait) {
        Upstream engine = choice.engine();
        long ticket = context.gateClient().newTicket();
        Duration wait = grantWait(choice);
        pendingEngine = engine;
        pendingTicket = ticket;
        context.engineView().onStartRequested(engine, promptTokens());
        context.gateClient()
                .requestStart(engine, buildStartRequest(engine, ticket, wait, limitWait), wait.plus(REPLY_MARGIN))
                .whenCompleteAsync(
                        open.guard((grant, failure) -> {
                            pendingEngine = null;
                            if (grant != null && grant.hasStatus()) {
                                context.engineView().onStatus(grant.getStatus());
                            }
                            onReply(service, engine, ticket, grant, failure);
                        }),
                        context.loop());
    }

    /** Limits the wait at an engine, since an early refusal with a retry time serves callers better. */
    private Duration grantWait(EngineChooser.Choice choice) {
        Duration wanted = criteria.objectiveLeft()
                .plusMillis((long) Math.min(MAX_WAIT_BEYOND_OBJECTIVE_MILLIS, choice.expectedMillis()));
        Duration wait = wanted.compareTo(MIN_GRANT_WAIT) < 0 ? MIN_GRANT_WAIT : wanted;
        return wait.compareTo(criteria.timeLeft()) > 0 ? criteria.timeLeft() : wait;
    }

    private void onReply(
            String service, Upstream engine, long ticket, @Nullable StartGrant grant, @Nullable Throwable failure) {
        if (finished) {
            if (grant != null && grant.getRefusalCode() == 0) {
                context.gateClient().sendProgress(engine, ticket, RunProgress.Stage.ENDED);
            }
            return;
        }
        if (failure != null || grant == null) {
            logger.atInfo()
                    .with(LogKeys.REQUEST, criteria.requestId())
                    .with(LogKeys.UPSTREAM, engine.id())
                    .log("side does not answer: %s", failure == null ? "" : Failures.unwrap(failure));
            context.engineView().markSideUnresponsive(engine, SILENT_SIDE_PAUSE.toMillis());
            context.gateClient().sendProgress(engine, ticket, RunProgress.Stage.WITHDRAWN);
            tryWithoutSide(service, engine);
        } else if (grant.getRefusalCode() != 0) {
            onSideRefused(engine, grant);
            tryNextEngine(service);
        } else {
            acceptGrant(service, grantedEngine(engine, grant), ticket, grant.getVersion());
        }
    }

    private void onSideRefused(Upstream engine, StartGrant refusal) {
        Duration retryAfter = Duration.ofMillis(refusal.getRetryAfterMillis());
        if (refusal.getRefusalCode() == ResultCode.UPSTREAM_LIMITED.number()) {
            context.limits().close(UpstreamStart.of(engine), retryAfter, criteria.priority());
            limitedCount++;
        }
        recordRetryAfter(retryAfter);
    }

    /**
     * Accepts a grant, unless the engine announced its shutdown or a pause, was replaced by a later start, or its data
     * centre was drained, while its side queued the start or the grant was on its way.
     */
    private void acceptGrant(String service, Upstream engine, long ticket, long version) {
        if (!mayStartAt(engine)) {
            context.gateClient().sendProgress(engine, ticket, RunProgress.Stage.ENDED);
            tryNextEngine(service);
            return;
        }
        finished = true;
        onGranted.accept(new GrantedEngine(engine, ticket, version));
    }

    private boolean mayStartAt(Upstream engine) {
        return context.availability().isAvailable(engine)
                && !context.directory().isLeavingOrReplaced(engine);
    }

    /** Returns the engine that the grant names, since a restart may have given the asked engine another id. */
    private Upstream grantedEngine(Upstream askedEngine, StartGrant grant) {
        if (askedEngine.id().equals(grant.getEngineId()) && askedEngine.startMillis() == grant.getEngineBorn()) {
            return askedEngine;
        }
        return context.directory()
                .find(grant.getEngineId())
                .filter(u -> u.startMillis() == grant.getEngineBorn())
                .orElseGet(() -> askedEngine.withStart(grant.getEngineId(), grant.getEngineBorn()));
    }

    /**
     * Sends to an engine whose side does not answer only if it holds the newest version of the adapter and names
     * no request limit, since only its side knows what all entries send to it. It may have become unavailable while
     * the answer was awaited.
     */
    private void tryWithoutSide(String service, Upstream engine) {
        Long version = engine.residentAdapters().get(criteria.adapter().toString());
        boolean holdsNewest =
                version != null && version >= context.adapterVersions().newestVersion(criteria.adapter());
        if (holdsNewest
                && mayStartAt(engine)
                && !context.limits().isLimited(engine)
                && context.engineView().adapterState(engine, criteria.adapter()) == EngineView.AdapterState.RESIDENT) {
            finished = true;
            onGranted.accept(new GrantedEngine(engine, 0, criteria.adapter().isBaseModel() ? 0 : version));
        } else {
            tryNextEngine(service);
        }
    }

    private void refuse(String service, ResultCode code) {
        finished = true;
        Duration wait = Optional.ofNullable(shortestRetryAfter)
                .or(() -> context.retryAfter(service))
                .orElse(DEFAULT_RETRY_AFTER);
        onRefused.accept(Refusal.of(code).withRetryAfter(wait));
    }

    /** Keeps the shortest time after which one of the asked sides expects to grant a start. */
    private void recordRetryAfter(Duration after) {
        Duration known = shortestRetryAfter;
        shortestRetryAfter = known == null || after.compareTo(known) < 0 ? after : known;
    }

    private StartRequest buildStartRequest(Upstream engine, long ticket, Duration wait, Duration limitWait) {
        ForwardRequest.TokenCounts tokens = criteria.tokens();
        StartRequest.Builder start = StartRequest.newBuilder();
        context.limits().limit(engine).ifPresent(l -> start.setKnownLimit(l.requestsPerSecond())
                .setKnownLimitEngineId(engine.id())
                .setKnownLimitEngineBorn(engine.startMillis()));
        return start.setTicket(ticket)
                .setModel(criteria.adapter().model())
                .setAdapter(criteria.adapter().adapter())
                .setMinVersion(context.adapterVersions().newestVersion(criteria.adapter()))
                .setPromptTokens(promptTokens())
                .setOutputTokens(tokens == null ? 0 : tokens.output())
                .setPriority(criteria.priority())
                .setObjectiveMillis((int) Math.max(0, criteria.objectiveLeft().toMillis()))
                .setDeadlineMillis((int) Math.max(0, criteria.timeLeft().toMillis()))
                .setWaitMillis((int) wait.toMillis())
                .setLimitWaitMillis((int) limitWait.toMillis())
                .setRequestId(criteria.requestId())
                .build();
    }

    private int promptTokens() {
        ForwardRequest.TokenCounts tokens = criteria.tokens();
        return tokens == null ? 0 : tokens.prompt();
    }
}
