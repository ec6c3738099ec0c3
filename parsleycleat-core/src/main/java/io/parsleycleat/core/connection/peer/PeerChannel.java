package io.parsleycleat.core.connection.peer;

import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.peer.Hello;

/**
 * One connection to another process, as a frame's handler sees it.
 *
 * <p>Created by the transport; safe to share between threads.
 */
public interface PeerChannel {
    /** Returns how the peer introduced itself. */
    Hello hello();

    /** Sends a frame; it is lost when the connection is. */
    void send(Frame frame);

    /** Answers a request. */
    default void reply(Frame request, Frame.Builder answer) {
        send(answer.setCorrelationId(request.getCorrelationId()).setReply(true).build());
    }

    /** Returns whether frames can be sent without waiting in memory. */
    boolean isWritable();

    /** Runs an action when the connection closes; at once when it is closed already. */
    void onClose(Runnable action);
}
