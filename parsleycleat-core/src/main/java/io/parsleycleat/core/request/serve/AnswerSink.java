package io.parsleycleat.core.request.serve;

import io.parsleycleat.core.connection.run.RunHandle;
import io.parsleycleat.wire.run.AnswerChunk;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;

/**
 * Turns the answer of a run into the answer that a caller gets.
 *
 * <p>Created for each request; called by one thread at a time.
 */
interface AnswerSink {
    /** Called before the chunks of each attempt. */
    void onHead(AnswerHead head);

    /** Called for each chunk; the handle is told when the chunk has left memory. */
    void onChunk(AnswerChunk chunk, RunHandle run);

    /** Called once with the final result, after the last attempt. */
    void onEnd(AnswerEnd end);

    /** Called after {@link #onEnd} has failed; ends the answer if it has not ended yet. */
    void onBroken();

    /** Called before another attempt; what the last one brought is forgotten. */
    void onRetry();

    /** Returns whether the caller has a part of the answer already. */
    boolean isAnswerStarted();
}
