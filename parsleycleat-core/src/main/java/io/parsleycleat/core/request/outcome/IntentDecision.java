package io.parsleycleat.core.request.outcome;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.wire.outcome.Outcome;

/** What to do with a non-idempotent request. */
public sealed interface IntentDecision {
    /** The request has its key and runs, once. */
    record Run(String attemptId) implements IntentDecision {}

    /** The request ran before; this is what came of it. */
    record Recorded(Outcome outcome) implements IntentDecision {}

    /** The request must not run. */
    record Refused(Refusal refusal) implements IntentDecision {}
}
