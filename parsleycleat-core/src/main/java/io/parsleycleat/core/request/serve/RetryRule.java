package io.parsleycleat.core.request.serve;

import io.parsleycleat.core.process.result.ResultClass;
import io.parsleycleat.core.process.result.ResultCode;
import java.util.EnumSet;
import java.util.Set;

/**
 * Decides whether a failed attempt may be followed by another one.
 *
 * <p>Stateless.
 */
final class RetryRule {
    /** Attempts of one request, the first one included. */
    static final int MAX_ATTEMPTS = 4;

    /** Failures that another attempt may not share. */
    private static final Set<ResultCode> ELSEWHERE = EnumSet.of(
            ResultCode.QUEUE_FULL,
            ResultCode.UPSTREAM_UNREACHABLE,
            ResultCode.UPSTREAM_LEAVING,
            ResultCode.LOAD_FAILED,
            ResultCode.PROCESS_STOPPING,
            ResultCode.LEASE_LAPSED,
            ResultCode.NOT_READY,
            ResultCode.NO_UPSTREAM,
            ResultCode.EPOCH_STALE,
            ResultCode.UPSTREAM_REFUSED);

    /** Refusals by a side that knows a later epoch than the entry, or stands beside something else by now. */
    private static final Set<ResultCode> OUTDATED = EnumSet.of(ResultCode.EPOCH_STALE, ResultCode.NO_UPSTREAM);

    private RetryRule() {}

    /**
     * Returns whether the request may be tried again.
     *
     * @param answerStarted whether the caller has a part of the answer already
     */
    static boolean mayRetry(ResultCode code, boolean idempotent, boolean answerStarted, int attempts) {
        if (attempts >= MAX_ATTEMPTS || answerStarted) {
            return false;
        }
        if (code.isNotRun()) {
            return ELSEWHERE.contains(code);
        }
        boolean lost = code == ResultCode.UPSTREAM_CRASHED
                || code == ResultCode.UPSTREAM_LOST
                || code == ResultCode.SIDE_LOST
                || code == ResultCode.ANSWER_INCOMPLETE;
        return idempotent && lost && code.resultClass() == ResultClass.MAY_HAVE_RUN;
    }

    /**
     * Returns whether another attempt takes from the entry's retries. After a side knew another version it does not: no
     * upstream was asked, and a change concerns many requests at once.
     */
    static boolean takesRetry(ResultCode code) {
        return !OUTDATED.contains(code);
    }
}
