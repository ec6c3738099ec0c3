package io.parsleycleat.core.connection.run;

import io.parsleycleat.wire.run.AnswerChunk;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;

/**
 * Takes the answer of one run: at most one head, chunks in order without gaps, and exactly one end.
 *
 * <p>Created for each run; called by one thread at a time, which must not be blocked.
 */
public interface RunListener {
    /** Called first, before anything is sent to the side. */
    void onStart(RunHandle run);

    /** Called before the chunks when the upstream started to answer. */
    void onHead(AnswerHead head);

    /** Called for each chunk. */
    void onChunk(AnswerChunk chunk);

    /** Called once; the code tells whether the answer is whole. */
    void onEnd(AnswerEnd end);
}
