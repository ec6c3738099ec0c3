package io.parsleycleat.core.request.outcome;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultClass;
import io.parsleycleat.core.process.result.ResultCode;
import java.util.Map;

/**
 * How far a run has come when it fails, which decides what may be said about it.
 *
 * <p>The only place that turns the code of a failure into one of the class that the phase allows.
 */
public enum RunPhase {
    /** Nothing was handed to the upstream and nothing will be. */
    NOT_STARTED,
    /** At least one byte may have been handed to the upstream. */
    STARTED;

    private static final Map<ResultCode, ResultCode> BEFORE = Map.ofEntries(
            Map.entry(ResultCode.UPSTREAM_CRASHED, ResultCode.UPSTREAM_UNREACHABLE),
            Map.entry(ResultCode.UPSTREAM_LOST, ResultCode.UPSTREAM_UNREACHABLE),
            Map.entry(ResultCode.UPSTREAM_OUT, ResultCode.UPSTREAM_UNREACHABLE),
            Map.entry(ResultCode.ANSWER_INCOMPLETE, ResultCode.UPSTREAM_UNREACHABLE),
            Map.entry(ResultCode.SIDE_LOST, ResultCode.NO_UPSTREAM),
            Map.entry(ResultCode.PEER_UNREACHABLE, ResultCode.NO_UPSTREAM),
            Map.entry(ResultCode.PEER_TIMEOUT, ResultCode.NO_UPSTREAM),
            Map.entry(ResultCode.DEADLINE_PASSED, ResultCode.DEADLINE_UNREACHABLE),
            Map.entry(ResultCode.CANCELLED, ResultCode.CALLER_GONE),
            Map.entry(ResultCode.ORDER_FENCED, ResultCode.LEASE_LAPSED),
            Map.entry(ResultCode.WEIGHT_STORE_OUT, ResultCode.LOAD_FAILED),
            Map.entry(ResultCode.LOG_OUT, ResultCode.LOG_UNAVAILABLE));

    private static final Map<ResultCode, ResultCode> AFTER = Map.ofEntries(
            Map.entry(ResultCode.UPSTREAM_UNREACHABLE, ResultCode.UPSTREAM_LOST),
            Map.entry(ResultCode.UPSTREAM_OUT, ResultCode.UPSTREAM_LOST),
            Map.entry(ResultCode.NO_UPSTREAM, ResultCode.SIDE_LOST),
            Map.entry(ResultCode.PEER_UNREACHABLE, ResultCode.SIDE_LOST),
            Map.entry(ResultCode.PEER_TIMEOUT, ResultCode.SIDE_LOST),
            Map.entry(ResultCode.DEADLINE_UNREACHABLE, ResultCode.DEADLINE_PASSED),
            Map.entry(ResultCode.CALLER_GONE, ResultCode.CANCELLED));

    /** Returns the code that may be told for a failure in this phase. */
    public ResultCode classify(ResultCode cause) {
        return this == NOT_STARTED ? beforeRun(cause) : afterStart(cause);
    }

    /** Returns the refusal that may be told for a failure in this phase. */
    public Refusal classify(Refusal cause) {
        ResultCode code = classify(cause.code());
        return code == cause.code() ? cause : new Refusal(code, cause.detail(), cause.retryAfter());
    }

    private static ResultCode beforeRun(ResultCode cause) {
        return switch (cause) {
                // These speak of an earlier attempt with the same key, whatever happened to this one.
            case ATTEMPT_IN_PROGRESS, OUTCOME_UNKNOWN, OUTCOME_TOO_LARGE -> cause;
            default -> cause.isNotRun() ? cause : BEFORE.getOrDefault(cause, ResultCode.FAILURE_BEFORE_RUN);
        };
    }

    private static ResultCode afterStart(ResultCode cause) {
        boolean allowed = cause == ResultCode.UPSTREAM_REFUSED
                || cause.resultClass() == ResultClass.MAY_HAVE_RUN
                || cause == ResultCode.DONE;
        return allowed ? cause : AFTER.getOrDefault(cause, ResultCode.FAILURE_UNEXPECTED);
    }
}
