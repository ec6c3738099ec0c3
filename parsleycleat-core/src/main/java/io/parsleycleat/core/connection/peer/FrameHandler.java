package io.parsleycleat.core.connection.peer;

import io.parsleycleat.wire.peer.Frame;

/** Handles the frames of one kind. Called on the connection's thread, so it must not block. */
@FunctionalInterface
public interface FrameHandler {
    /** Handles a frame that is not a reply. */
    void handle(PeerChannel from, Frame frame);
}
