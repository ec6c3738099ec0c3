package io.parsleycleat.standin;

import java.net.InetSocketAddress;
import java.net.URI;

/**
 * A small process that takes the place of a part of the platform or of an upstream.
 *
 * <p>Created by {@link StandInMain} or in-process by tests; implementations are safe to share between threads.
 */
public interface StandIn extends AutoCloseable {
    /** Returns the address that the stand-in listens at. */
    InetSocketAddress address();

    /** Returns the base of the stand-in's URLs. */
    URI uri();

    /** Stops listening and closes all connections. */
    @Override
    void close();
}
