package io.parsleycleat.standin.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * Finds free loopback ports for processes whose addresses stand in settings.
 *
 * <p>Created by {@link Fleet}; safe to share between threads. No port is given out twice.
 */
final class FreePorts {
    private static final String LOOPBACK = "127.0.0.1";

    private final Set<Integer> given = new HashSet<>();

    /** Returns a free address as text. */
    synchronized String next() {
        int port;
        do {
            port = findFree();
        } while (!given.add(port));
        return LOOPBACK + ":" + port;
    }

    private static int findFree() {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new FleetException("no free port", e);
        }
    }
}
