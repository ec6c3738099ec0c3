package io.parsleycleat.core.request.outcome;

import io.parsleycleat.wire.outcome.Outcome;
import java.util.concurrent.CompletableFuture;

/**
 * Keeps non-idempotent requests to one run by means of the log.
 *
 * <p>One a side of a plain service; implementations are safe to share between threads. Each run that {@link #begin}
 * allows ends with exactly one call of {@link #complete}, {@link #cancel} or {@link #abandon}.
 */
public interface IntentLedger {
    /** Decides whether a request runs. Never fails; a log that is out is a refusal. */
    CompletableFuture<IntentDecision> begin(IntentRequest request);

    /** Records what came of a run. The outcome carries the attempt's id. Completes when the log has it. */
    CompletableFuture<Void> complete(String service, Outcome outcome);

    /** Frees the key of an allowed run that certainly did not start. */
    void cancel(IntentRequest request, String attemptId);

    /** Notes that an allowed run ended without a whole answer; repeats are told that it may have run. */
    void abandon(IntentRequest request, String attemptId);
}
