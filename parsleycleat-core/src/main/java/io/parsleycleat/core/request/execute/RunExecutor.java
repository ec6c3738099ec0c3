package io.parsleycleat.core.request.execute;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.run.RunAnswer;
import io.parsleycleat.core.connection.run.RunStarter;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.run.RunId;
import io.parsleycleat.wire.run.Start;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Starts the runs that arrive at a side.
 *
 * <p>Created once by the side, for a model engine or for a plain service; safe to share between threads.
 */
public final class RunExecutor implements RunStarter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Starts an execution for a run that passed the gate. */
    @FunctionalInterface
    private interface Execution {
        void begin(RunId id, Start start, RunAnswer answer);
    }

    private final String upstreamId;
    private final SideGate gate;
    private final Predicate<Start> takes;
    private final Execution execution;

    private RunExecutor(String upstreamId, SideGate gate, Predicate<Start> takes, Execution execution) {
        this.upstreamId = upstreamId;
        this.gate = gate;
        this.takes = takes;
        this.execution = execution;
    }

    /** Returns an executor for a model engine. */
    public static RunExecutor ofEngine(EngineContext context) {
        return new RunExecutor(
                context.upstreamId(), context.gate(), Start::hasAdapter, (id, start, answer) -> new EngineExecution(
                                context, id, start, answer)
                        .begin());
    }

    /** Returns an executor for a plain service. */
    public static RunExecutor ofService(ServiceContext context) {
        return new RunExecutor(
                context.upstreamId(), context.gate(), context::takes, (id, start, answer) -> new ServiceExecution(
                                context, id, start, answer)
                        .begin());
    }

    /** Starts a run; an unexpected failure of a check ends it, since nothing else would. */
    @Override
    public void start(RunId id, Start start, RunAnswer answer) {
        try {
            check(id, start, answer);
        } catch (RuntimeException | Error e) {
            logger.atSevere()
                    .withCause(e)
                    .with(LogKeys.REQUEST, start.getRequestId())
                    .log("unexpected failure before a run");
            ResultCode code = ResultCode.FAILURE_BEFORE_RUN;
            answer.end(AnswerEnds.failed(upstreamId, code, code.meaning()));
        }
    }

    private void check(RunId id, Start start, RunAnswer answer) {
        Optional<Refusal> refused = takes.test(start)
                ? gate.onArrival(start)
                : Optional.of(Refusal.of(ResultCode.NO_UPSTREAM, "the upstream does not take such requests"));
        if (refused.isPresent()) {
            answer.end(AnswerEnds.refused(upstreamId, refused.get()));
        } else {
            execution.begin(id, start, answer);
        }
    }
}
