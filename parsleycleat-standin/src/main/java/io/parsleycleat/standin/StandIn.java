package io.parsleycleat.standin;

import io.parsleycleat.standin.http.Faults;
import io.parsleycleat.standin.http.StandInServer;
import java.net.InetSocketAddress;
import java.net.URI;

/**
 * A small process that takes the place of a part of the platform or of an upstream.
 *
 * <p>Created by {@link StandInMain} or in-process by tests; implementations are safe to share between threads.
 */
public interface StandIn extends AutoCloseable {
    /** Returns the server with the control interface, the faults and the records. */
    StandInServer<?> server();

    /** Returns the address that the stand-in listens at. */
    default InetSocketAddress address() {
        return server().address();
    }

    /** Returns the base of the stand-in's URLs. */
    default URI uri() {
        return server().uri();
    }

    /** Sets how requests are treated from now on. */
    default void setFaults(Faults faults) {
        server().setFaults(faults);
    }

    /** Stops listening and closes all connections. */
    @Override
    default void close() {
        server().close();
    }
}
