package io.parsleycleat.core.connection.peer;

import io.parsleycleat.wire.peer.Frame;

/** Where the parts of a process register for the frames that they handle. Safe to share between threads. */
public interface FrameRouter {
    /** Registers the only handler for one kind of frame. */
    void register(Frame.BodyCase kind, FrameHandler handler);
}
