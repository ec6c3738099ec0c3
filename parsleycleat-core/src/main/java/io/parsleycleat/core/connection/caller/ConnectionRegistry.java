package io.parsleycleat.core.connection.caller;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Counts callers' connections. At the limit the connection that has been idle longest makes room. One on which a
 * request arrives at that moment is answered first and does not count meanwhile.
 *
 * <p>One a server; safe to share between threads.
 */
final class ConnectionRegistry {
    private final int maxConnections;
    private final Object lock = new Object();
    private final Set<Entry> idle = new LinkedHashSet<>();
    private int open;
    private int ending;

    ConnectionRegistry(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Takes a connection in, or returns nothing when all others are busy. */
    Optional<Entry> register(Channel channel) {
        Entry evicted = null;
        Entry entry = new Entry(channel);
        synchronized (lock) {
            if (open >= maxConnections) {
                if (idle.isEmpty()) {
                    return Optional.empty();
                }
                evicted = idle.iterator().next();
                remove(evicted);
            }
            open++;
            idle.add(entry);
        }
        if (evicted != null) {
            evicted.closeWhenUnused();
        }
        return Optional.of(entry);
    }

    /** Closes the connections that carry no request. */
    void closeIdle() {
        List<Entry> unused;
        synchronized (lock) {
            unused = List.copyOf(idle);
        }
        unused.forEach(Entry::closeWhenUnused);
    }

    int open() {
        synchronized (lock) {
            return open;
        }
    }

    /** Returns how many connections carry a request, or a part of one, or an answer. */
    int active() {
        synchronized (lock) {
            return open - idle.size() - ending;
        }
    }

    private void remove(Entry entry) {
        if (!entry.removed) {
            entry.removed = true;
            idle.remove(entry);
            open--;
            ending -= entry.ending ? 1 : 0;
        }
    }

    /** One connection. Created by the registry; safe to share between threads. */
    final class Entry {
        private final Channel channel;
        private boolean removed;
        private boolean ending;

        Entry(Channel channel) {
            this.channel = channel;
        }

        /** Leaves it to the connection's event loop, which alone knows whether a request has arrived by then. */
        private void closeWhenUnused() {
            channel.pipeline().fireUserEventTriggered(ConnectionEvent.CLOSE_WHEN_UNUSED);
        }

        void busy() {
            synchronized (lock) {
                idle.remove(this);
            }
        }

        void idle() {
            synchronized (lock) {
                if (!removed && !ending) {
                    idle.add(this);
                }
            }
        }

        /** The connection is closed as soon as its caller has read what was sent. */
        void ending() {
            synchronized (lock) {
                idle.remove(this);
                if (!removed && !ending) {
                    ending = true;
                    ConnectionRegistry.this.ending++;
                }
            }
        }

        void close() {
            synchronized (lock) {
                remove(this);
            }
        }
    }
}
