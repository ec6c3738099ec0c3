package io.parsleycleat.core.connection.run;

import io.parsleycleat.core.connection.peer.PeerChannel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Knows which runs use which connection, so that each connection has one action for its loss, whatever passes it.
 *
 * <p>One a {@link RunClient} or {@link RunServer}; guarded by its own lock.
 *
 * @param <R> the type of the runs
 */
final class ChannelRuns<R> {
    private final BiConsumer<R, PeerChannel> whenLost;
    private final Map<PeerChannel, Set<R>> runs = new HashMap<>();

    /** Creates an empty set; the action is called for each run of a connection that is lost. */
    ChannelRuns(BiConsumer<R, PeerChannel> whenLost) {
        this.whenLost = whenLost;
    }

    /** Notes that a run uses a connection. When the connection is lost already, the action is called at once. */
    void add(PeerChannel channel, R run) {
        boolean first;
        synchronized (runs) {
            first = !runs.containsKey(channel);
            runs.computeIfAbsent(channel, c -> new HashSet<>()).add(run);
        }
        if (first) {
            channel.onClose(() -> lost(channel));
        }
    }

    /** Notes that a run has ended. */
    void remove(PeerChannel channel, R run) {
        synchronized (runs) {
            Set<R> users = runs.get(channel);
            if (users != null) {
                users.remove(run);
            }
        }
    }

    private void lost(PeerChannel channel) {
        Set<R> users;
        synchronized (runs) {
            users = runs.remove(channel);
        }
        if (users != null) {
            users.forEach(run -> whenLost.accept(run, channel));
        }
    }
}
