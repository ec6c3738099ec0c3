package io.parsleycleat.core.connection.caller;

import java.util.OptionalLong;

/**
 * The connection as an answer sees it: what its head tells the caller, and who goes on after its end.
 *
 * <p>Created by {@link CallerHandler} for each answer; used on the channel's event loop only.
 */
interface AnswerConnection {
    /** Returns whether the connection takes another request after the answer. Asked once, for the head. */
    boolean staysOpen();

    /** Returns the whole seconds for which the caller may leave the connection idle. Asked once, for the head. */
    OptionalLong idleSeconds();

    /**
     * Called when the whole answer has left.
     *
     * @param last whether its head has told that the connection closes
     */
    void onAnswered(boolean last);
}
