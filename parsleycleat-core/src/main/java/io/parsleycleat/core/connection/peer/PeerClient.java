package io.parsleycleat.core.connection.peer;

import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Sends frames to other processes by their peer address.
 *
 * <p>One a process; implementations are safe to share between threads.
 */
public interface PeerClient {
    /**
     * Sends a request and completes with its reply. Fails with a {@code PeerException} when the peer cannot be
     * reached, does not answer in time or answers with a failure.
     */
    CompletableFuture<Frame> request(String peerAddress, Frame.Builder frame, Duration timeout);

    /** Sends a frame that expects no reply; it may be lost without notice. */
    void send(String peerAddress, Frame.Builder frame);

    /** Returns an open connection, opening one when needed. */
    CompletableFuture<PeerChannel> connect(String peerAddress);
}
