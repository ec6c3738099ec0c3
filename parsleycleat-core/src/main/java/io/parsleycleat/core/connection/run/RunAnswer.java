package io.parsleycleat.core.connection.run;

import com.google.protobuf.ByteString;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;

/**
 * Where a side puts the answer of one run.
 *
 * <p>Created by {@link RunServer} for each run; safe to share between threads, but parts arrive in the order of calls.
 */
public interface RunAnswer {
    /** Starts the answer. */
    void head(AnswerHead head);

    /** Adds a part of the answer. */
    void chunk(ByteString data, int tokens);

    /** Ends the answer; the number of chunks is filled in. Only the first call has an effect. */
    void end(AnswerEnd.Builder end);

    /** Runs an action when the side stops before the run has ended; at once when it has done so already. */
    void onStop(Runnable action);

    /** Runs an action when the entry cancels the run; at once when it has done so already. */
    void onCancel(Runnable action);
}
