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
final class EngineStart {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_ASKED = 3;
    /** How much later than the requested wait a side's reply may arrive. */
    private static final Duration ANSWER_SLACK = Duration.ofMillis(300);
    /** The shortest wait that is requested from a side, also if the answer will then miss its objective. */
    private static final Duration MIN_WAIT = Duration.ofMillis(1_200);
    /** The longest time by which the wait may exceed the objective if the engine is expected to take long. */
    private static final long MAX_EXTRA_MILLIS = 1_000;

    /** How long a side that did not reply is not asked again. */
    private static final Duration SIDE_PAUSE = Duration.ofSeconds(1);

    private static final Duration DEFAULT_RETRY = Duration.ofMillis(500);

    private final ForwardingContext parts;
    private final Ask ask;
    private final Set<String> excluded;
    private final Consumer<Started> whenStarted;
    private final Consumer<Refusal> whenRefused;
    private int asked;
    private boolean given;
    private @Nullable Duration retryAfter;
    private @Nullable Upstream waitingAt;
    private long waitingTicket;

    /**
     * The request that needs an engine.
     *
     * @param objectiveLeft the time left until the objective of the route; may be negative
     * @param timeLeft the time left until the deadline of the request
     */
    record Ask(
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
    record Started(Upstream engine, long ticket, long adapterVersion) {}

    /**
     * Creates a search; {@link #next} starts it.
     *
     * @param excluded ids of the engines that are not considered
     */
    EngineStart(
            ForwardingContext parts,
            Ask ask,
            Set<String> excluded,
            Consumer<Started> whenStarted,
            Consumer<Refusal> whenRefused) {
        this.parts = parts;
        this.ask = ask;
        this.excluded = new HashSet<>(excluded);
        this.whenStarted = whenStarted;
        this.whenRefused = whenRefused;
    }

    /** Asks the side of the best engine of a service that was not tried yet, or refuses if none is left. */
    void next(String service) {
        List<EngineChooser.Choice> choices =
                parts.engines().orderByExpectedTime(parts.usable(service), ask.adapter(), excluded);
        if (choices.isEmpty() || asked >= MAX_ASKED) {
            refuse(service, choices.isEmpty() ? ResultCode.NO_UPSTREAM : ResultCode.QUEUE_FULL);
            return;
        }
        EngineChooser.Choice choice = choices.get(0);
        excluded.add(choice.engine().id());
        asked++;
        if (parts.view().isSideUnresponsive(choice.engine())) {
            withoutSide(service, choice.engine());
        } else {
            askSide(service, choice);
        }
    }

    /** Cancels the search; a grant that arrives later is given back to its side. */
    void cancel() {
        given = true;
        Upstream engine = waitingAt;
        if (engine != null) {
            parts.gates().sendProgress(engine, waitingTicket, RunProgress.Stage.WITHDRAWN);
        }
    }

    private void askSide(String service, EngineChooser.Choice choice) {
        Upstream engine = choice.engine();
        long ticket = parts.gates().newTicket();
        Duration wait = waitAt(choice);
        waitingAt = engine;
        waitingTicket = ticket;
        parts.view().onStartRequested(engine, promptTokens());
        parts.gates()
                .requestStart(engine, startRequest(ticket, wait), wait.plus(ANSWER_SLACK))
                .whenCompleteAsync(
                        (grant, failure) -> {
                            waitingAt = null;
                            if (grant != null && grant.hasStatus()) {
                                parts.view().onStatus(grant.getStatus());
                            }
                            answered(service, engine, ticket, grant, failure);
                        },
                        parts.loop());
    }

    /** Limits the wait at an engine, since an early refusal with a retry time is better for callers than a long wait. */
    private Duration waitAt(EngineChooser.Choice choice) {
        Duration wanted = ask.objectiveLeft().plusMillis((long) Math.min(MAX_EXTRA_MILLIS, choice.expectedMillis()));
        Duration wait = wanted.compareTo(MIN_WAIT) < 0 ? MIN_WAIT : wanted;
        return wait.compareTo(ask.timeLeft()) > 0 ? ask.timeLeft() : wait;
    }

    private void answered(
            String service, Upstream engine, long ticket, @Nullable StartGrant grant, @Nullable Throwable failure) {
        if (given) {
            if (grant != null && grant.getRefusalCode() == 0) {
                parts.gates().sendProgress(engine, ticket, RunProgress.Stage.ENDED);
            }
            return;
        }
        if (failure != null || grant == null) {
            logger.atInfo()
                    .with(LogKeys.REQUEST, ask.requestId())
                    .with(LogKeys.UPSTREAM, engine.id())
                    .log("side does not answer: %s", failure == null ? "" : Failures.unwrap(failure));
            parts.view().markSideUnresponsive(engine, SIDE_PAUSE.toMillis());
            parts.gates().sendProgress(engine, ticket, RunProgress.Stage.WITHDRAWN);
            withoutSide(service, engine);
        } else if (grant.getRefusalCode() != 0) {
            noteRetry(Duration.ofMillis(grant.getRetryAfterMillis()));
            next(service);
        } else {
            start(service, granted(engine, grant), ticket, grant.getVersion());
        }
    }

    /** Accepts a grant, unless the engine announced its shutdown or a pause while its side queued the start. */
    private void start(String service, Upstream engine, long ticket, long version) {
        if (!parts.availability().isAvailable(engine)) {
            parts.gates().sendProgress(engine, ticket, RunProgress.Stage.ENDED);
            next(service);
            return;
        }
        given = true;
        whenStarted.accept(new Started(engine, ticket, version));
    }

    /** Returns the engine that the grant names, since a restart may have given the asked engine another id. */
    private Upstream granted(Upstream asked, StartGrant grant) {
        if (asked.id().equals(grant.getEngineId()) && asked.startMillis() == grant.getEngineBorn()) {
            return asked;
        }
        return parts.directory()
                .find(grant.getEngineId())
                .filter(u -> u.startMillis() == grant.getEngineBorn())
                .orElseGet(() -> asked.withStart(grant.getEngineId(), grant.getEngineBorn()));
    }

    /** Sends to an engine whose side does not answer only if the engine holds the newest version of the adapter. */
    private void withoutSide(String service, Upstream engine) {
        Long version = engine.residentAdapters().get(ask.adapter().toString());
        boolean held = version != null && version >= parts.versions().newestVersion(ask.adapter());
        if (held && parts.view().adapterState(engine, ask.adapter()) == EngineView.AdapterState.RESIDENT) {
            given = true;
            whenStarted.accept(new Started(engine, 0, ask.adapter().isBaseModel() ? 0 : version));
        } else {
            next(service);
        }
    }

    private void refuse(String service, ResultCode code) {
        given = true;
        Duration wait = Optional.ofNullable(retryAfter)
                .or(() -> parts.comeBackAfter(service))
                .orElse(DEFAULT_RETRY);
        whenRefused.accept(Refusal.of(code).withRetryAfter(wait));
    }

    /** Keeps the shortest time after which one of the asked sides expects to grant a start. */
    private void noteRetry(Duration after) {
        Duration known = retryAfter;
        retryAfter = known == null || after.compareTo(known) < 0 ? after : known;
    }

    private StartRequest startRequest(long ticket, Duration wait) {
        ForwardRequest.TokenCounts tokens = ask.tokens();
        return StartRequest.newBuilder()
                .setTicket(ticket)
                .setModel(ask.adapter().model())
                .setAdapter(ask.adapter().adapter())
                .setMinVersion(parts.versions().newestVersion(ask.adapter()))
                .setPromptTokens(promptTokens())
                .setOutputTokens(tokens == null ? 0 : tokens.output())
                .setPriority(ask.priority())
                .setObjectiveMillis((int) Math.max(0, ask.objectiveLeft().toMillis()))
                .setDeadlineMillis((int) Math.max(0, ask.timeLeft().toMillis()))
                .setWaitMillis((int) wait.toMillis())
                .setRequestId(ask.requestId())
                .build();
    }

    private int promptTokens() {
        ForwardRequest.TokenCounts tokens = ask.tokens();
        return tokens == null ? 0 : tokens.prompt();
    }
}
