package io.parsleycleat.core.connection.upstream;

import io.netty.channel.Channel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.ListenableFuture;

/**
 * Fails a call whose new connection was closed before the request was written on it.
 *
 * <p>The client reads from a connection as soon as it is open, but hands it to its call only when the caller's thread
 * has registered for the result of connecting. A close between the two is reported to no call, and the client then
 * skips the request and waits for the call's timeout.
 *
 * <p>Created for each call; safe to share between threads.
 */
final class EarlyClose {
    private final CompletableFuture<ConnectException> closed = new CompletableFuture<>();
    private volatile boolean found;

    /**
     * Checks a new connection. Called on its event loop just before the client writes the request, so that the client
     * reports a later close to the call. The call fails once the client has passed over the closed connection.
     */
    void onConnected(InetSocketAddress remote, Channel connection) {
        if (!connection.isActive()) {
            found = true;
            connection
                    .eventLoop()
                    .execute(() -> closed.complete(
                            new ConnectException("connection to " + remote + " closed before the request was sent")));
        }
    }

    /** Returns whether the connection was found closed, so that no byte of the request was sent. */
    boolean isFound() {
        return found;
    }

    /** Fails the call if its connection was or will be found closed. */
    <T> ListenableFuture<T> watch(ListenableFuture<T> call) {
        closed.thenAccept(call::abort);
        return call;
    }
}
