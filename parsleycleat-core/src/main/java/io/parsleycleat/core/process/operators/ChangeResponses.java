package io.parsleycleat.core.process.operators;

import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.ParsleycleatException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.operators.ApplyResponse;
import io.parsleycleat.wire.operators.ApplyState;

/** Turns what became of a change into the answer that an operator gets. Stateless. */
final class ChangeResponses {
    private ChangeResponses() {}

    /** Returns the answer to a change, given what the fold made of the first change with its id. */
    static ApplyResponse of(Change asked, AuditEntry entry) {
        ApplyResponse.Builder answer = ApplyResponse.newBuilder().setChangeId(asked.getChangeId());
        if (!isSame(asked, entry.getChange())) {
            return withCode(answer, ApplyState.APPLY_STATE_INVALID, ResultCode.CHANGE_INVALID)
                    .setDetail("the change id was used for another change")
                    .build();
        }
        answer.setDetail(entry.getDetail());
        return switch (entry.getResult()) {
            case CHANGE_RESULT_ACCEPTED -> withCode(answer, ApplyState.APPLY_STATE_ACCEPTED, ResultCode.DONE)
                    .setVersion(entry.getOffset() + 1)
                    .build();
            case CHANGE_RESULT_CONFLICT -> withCode(answer, ApplyState.APPLY_STATE_CONFLICT, ResultCode.CHANGE_CONFLICT)
                    .build();
            default -> withCode(answer, ApplyState.APPLY_STATE_INVALID, ResultCode.CHANGE_INVALID)
                    .build();
        };
    }

    /** Returns the answer to a change that was not read back in time. */
    static ApplyResponse of(Change asked, Throwable failure) {
        Throwable cause = Failures.unwrap(failure);
        boolean inForce = cause instanceof ParsleycleatException e && e.code() == ResultCode.CHANGE_NOT_RECORDED;
        ApplyResponse.Builder answer = inForce
                ? withCode(
                        ApplyResponse.newBuilder(),
                        ApplyState.APPLY_STATE_IN_FORCE_NOT_RECORDED,
                        ResultCode.CHANGE_NOT_RECORDED)
                : withCode(ApplyResponse.newBuilder(), ApplyState.APPLY_STATE_UNKNOWN, ResultCode.CHANGE_UNKNOWN);
        return answer.setChangeId(asked.getChangeId())
                .setDetail(String.valueOf(cause.getMessage()))
                .build();
    }

    private static ApplyResponse.Builder withCode(ApplyResponse.Builder answer, ApplyState state, ResultCode code) {
        return answer.setState(state).setCode(code.number());
    }

    /** A repeat may have another author and time, and may have been made from the version that the first one left. */
    private static boolean isSame(Change first, Change second) {
        return unstamped(first).equals(unstamped(second));
    }

    private static Change unstamped(Change change) {
        Change.Builder copy = change.toBuilder().clearAuthor().clearTimeMillis().clearExpectedVersion();
        if (copy.hasKey()) {
            copy.getKeyBuilder().clearIssuedAtMillis();
        }
        return copy.build();
    }
}
