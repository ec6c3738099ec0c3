package io.parsleycleat.core.request.outcome;

import io.parsleycleat.wire.outcome.Outcome;
import java.util.concurrent.CompletableFuture;

/**
 * Keeps non-idempotent requests to one run by means of the log.
 *
 * <p>One a side of a plain service; implementations are safe to share between threads.
 */
public interface IntentLedger {
    /** Decides whether a request runs. Never fails; a log that is out is a refusal. */
    CompletableFuture<IntentDecision> begin(IntentRequest request);

    /** Records what came of a run. The outcome carries the attempt's id. */
    CompletableFuture<Void> complete(String service, Outcome outcome);
}
