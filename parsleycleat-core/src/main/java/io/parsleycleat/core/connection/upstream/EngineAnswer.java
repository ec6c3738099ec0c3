package io.parsleycleat.core.connection.upstream;

import io.parsleycleat.core.process.result.UpstreamException;

/**
 * Takes a model engine's answer as it arrives.
 *
 * <p>Created for each run; called by one thread at a time.
 */
public interface EngineAnswer {
    /** Called for each token, counted from 0 without gaps. */
    void onToken(long index, String text);

    /** Called once when the answer is whole. */
    void onEnd(String finishReason, int promptTokens, int generatedTokens);

    /** Called once when the answer breaks off or is refused. The code's class tells whether the run started. */
    void onFailure(UpstreamException failure);
}
