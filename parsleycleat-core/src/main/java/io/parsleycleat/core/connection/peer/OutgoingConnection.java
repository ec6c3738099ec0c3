package io.parsleycleat.core.connection.peer;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a peer that may still be opening. What is to be done with it waits for that, and is done in the order
 * in which it was asked for, so that no frame overtakes an earlier one.
 *
 * <p>Created by {@link NettyPeerTransport} for each connection that it opens; safe to share between threads. Actions
 * run on the thread that opened the connection, or on the caller's once it is open.
 */
final class OutgoingConnection {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Queue<BiConsumer<@Nullable NettyPeerChannel, @Nullable Throwable>> waiting = new ArrayDeque<>();
    private @Nullable NettyPeerChannel channel;
    private @Nullable Throwable failure;
    private boolean isDone;

    /** Runs an action with the open connection, or with the failure to open it. */
    void whenOpen(BiConsumer<@Nullable NettyPeerChannel, @Nullable Throwable> action) {
        synchronized (this) {
            if (!isDone) {
                waiting.add(action);
                return;
            }
        }
        action.accept(channel, failure);
    }

    /** Records the outcome, and runs what waits for it; what is asked for meanwhile waits behind that. */
    void onOpened(@Nullable NettyPeerChannel opened, @Nullable Throwable failed) {
        BiConsumer<@Nullable NettyPeerChannel, @Nullable Throwable> next = start(opened, failed);
        while (next != null) {
            run(next, opened, failed);
            next = takeNext();
        }
    }

    /** Runs one action. What it throws is logged, so that those behind it follow. */
    private static void run(
            BiConsumer<@Nullable NettyPeerChannel, @Nullable Throwable> action,
            @Nullable NettyPeerChannel opened,
            @Nullable Throwable failed) {
        try {
            action.accept(opened, failed);
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).log("a frame could not be handed to its connection");
        }
    }

    private synchronized @Nullable BiConsumer<@Nullable NettyPeerChannel, @Nullable Throwable> start(
            @Nullable NettyPeerChannel opened, @Nullable Throwable failed) {
        channel = opened;
        failure = failed;
        return takeNext();
    }

    /** Takes the next action; if there is none, later ones need not wait any more. */
    private synchronized @Nullable BiConsumer<@Nullable NettyPeerChannel, @Nullable Throwable> takeNext() {
        isDone = waiting.isEmpty();
        return waiting.poll();
    }
}
