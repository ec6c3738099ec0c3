package io.parsleycleat.gateway.connection.upstream;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Shares the event loop with connections on which very many small parts arrive, as a faulty upstream sends them without
 * end. Each of them stops reading after a turn and goes on when it is its turn again, one after the other, so that all
 * of them together leave most of the loop to the others.
 *
 * <p>One for each event loop; used on it only.
 */
final class ReadTurns {
    /** Several times as long as a turn takes. */
    private static final long INTERVAL_MILLIS = 10;

    private final EventLoop loop;
    private final Deque<BooleanSupplier> waiting = new ArrayDeque<>();
    private boolean scheduled;

    ReadTurns(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Waits for the next turn.
     *
     * @param takeTurn resumes reading; returns false if the connection is closed, so that the next one takes the turn
     */
    void await(BooleanSupplier takeTurn) {
        waiting.addLast(takeTurn);
        schedule();
    }

    private void schedule() {
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            loop.schedule(this::giveTurn, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void giveTurn() {
        scheduled = false;
        boolean taken = false;
        while (!taken && !waiting.isEmpty()) {
            taken = waiting.removeFirst().getAsBoolean();
        }
        schedule();
    }
}
