package io.parsleycleat.core.connection.run;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.run.AnswerChunk;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import io.parsleycleat.wire.run.RunId;
import io.parsleycleat.wire.run.RunMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The answer of one run at its side: what was sent but not yet consumed, and what waits for credit.
 *
 * <p>Created by {@link RunServer}; guarded by its own lock, under which frames are handed to the connection so that
 * their order is kept.
 */
final class ServerRun implements RunAnswer {
    /** Memory of an answer that a side holds for a slow caller before it gives up. */
    static final int MAX_HELD_BYTES = 8 * 1024 * 1024;
    /** Memory that a chunk takes beside its data, which may be a single byte. */
    private static final int CHUNK_OVERHEAD_BYTES = 128;

    private final RunId id;
    private final Runnable whenEnded;
    private final Object lock = new Object();
    private final Deque<AnswerChunk> waiting = new ArrayDeque<>();
    private final Deque<AnswerChunk> unconsumed = new ArrayDeque<>();
    private final List<Runnable> cancelActions = new ArrayList<>();
    private final List<Runnable> stopActions = new ArrayList<>();
    private @Nullable AnswerHead head;
    private @Nullable AnswerEnd end;
    private @Nullable PeerChannel channel;
    private long chunkCount;
    private long credit;
    private long consumedBytes;
    private long heldBytes;
    private long deliveries;
    private boolean endSent;
    private boolean cancelled;
    private boolean stopped;

    ServerRun(RunId id, int initialCredit, Runnable whenEnded) {
        this.id = id;
        this.credit = initialCredit;
        this.whenEnded = whenEnded;
    }

    // Answer

    @Override
    public void head(AnswerHead newHead) {
        synchronized (lock) {
            if (head == null && end == null) {
                head = newHead;
                send(RunMessage.newBuilder().setHead(newHead));
            }
        }
    }

    @Override
    public void chunk(ByteString data, int tokens) {
        boolean overflow;
        synchronized (lock) {
            if (end != null) {
                return;
            }
            waiting.add(AnswerChunk.newBuilder()
                    .setSequence(chunkCount++)
                    .setData(data)
                    .setTokens(tokens)
                    .build());
            heldBytes += heldBytes(data);
            overflow = heldBytes > MAX_HELD_BYTES;
            flush();
        }
        if (overflow) {
            end(AnswerEnd.newBuilder()
                    .setCode(ResultCode.ANSWER_INCOMPLETE.number())
                    .setDetail("the caller reads too slowly"));
            cancel();
        }
    }

    @Override
    public void end(AnswerEnd.Builder newEnd) {
        synchronized (lock) {
            if (end != null) {
                return;
            }
            end = newEnd.setChunkCount(chunkCount).build();
            flush();
        }
        whenEnded.run();
    }

    @Override
    public void onCancel(Runnable action) {
        synchronized (lock) {
            if (!cancelled) {
                cancelActions.add(action);
                return;
            }
        }
        action.run();
    }

    @Override
    public void onStop(Runnable action) {
        synchronized (lock) {
            if (!stopped) {
                stopActions.add(action);
                return;
            }
        }
        action.run();
    }

    // Used by the server

    void attach(PeerChannel newChannel) {
        synchronized (lock) {
            channel = newChannel;
            deliveries++;
            if (head != null) {
                send(RunMessage.newBuilder().setHead(head));
            }
            flush();
        }
    }

    /** Forgets a connection that closed; returns whether it was the run's current one. */
    boolean detach(PeerChannel closed) {
        synchronized (lock) {
            boolean current = channel == closed;
            if (current) {
                channel = null;
                deliveries++;
            }
            return current;
        }
    }

    void resumeAt(long sequence, int window) {
        synchronized (lock) {
            while (!unconsumed.isEmpty()) {
                waiting.addFirst(unconsumed.removeLast());
            }
            while (!waiting.isEmpty() && waiting.getFirst().getSequence() < sequence) {
                heldBytes -= heldBytes(waiting.removeFirst().getData());
            }
            consumedBytes = 0;
            credit = window;
            endSent = false;
        }
    }

    void addCredit(int bytes) {
        synchronized (lock) {
            credit += bytes;
            consumedBytes += bytes;
            while (!unconsumed.isEmpty() && unconsumed.getFirst().getData().size() <= consumedBytes) {
                ByteString data = unconsumed.removeFirst().getData();
                consumedBytes -= data.size();
                heldBytes -= heldBytes(data);
            }
            flush();
        }
    }

    void cancel() {
        List<Runnable> actions;
        synchronized (lock) {
            cancelled = true;
            actions = List.copyOf(cancelActions);
            cancelActions.clear();
        }
        actions.forEach(Runnable::run);
    }

    /** Tells the run that the side stops. */
    void stop() {
        List<Runnable> actions;
        synchronized (lock) {
            stopped = true;
            actions = List.copyOf(stopActions);
            stopActions.clear();
        }
        actions.forEach(Runnable::run);
    }

    boolean isEnded() {
        synchronized (lock) {
            return end != null;
        }
    }

    /** Returns whether the whole answer was handed to the connection, or there is none to hand it to. */
    boolean isDelivered() {
        synchronized (lock) {
            return end != null && (endSent || channel == null);
        }
    }

    /** Returns a number that grows with each connection that is gained or lost, and when the end has left. */
    long deliveries() {
        synchronized (lock) {
            return deliveries;
        }
    }

    /** Returns whether nobody is about to take more of an ended answer: it has left, or its entry or caller is gone. */
    boolean isSettled() {
        synchronized (lock) {
            return end != null && (endSent || channel == null || cancelled);
        }
    }

    Optional<PeerChannel> channel() {
        synchronized (lock) {
            return Optional.ofNullable(channel);
        }
    }

    boolean isDetached() {
        synchronized (lock) {
            return channel == null;
        }
    }

    // Internals, called under the lock

    private static int heldBytes(ByteString data) {
        return data.size() + CHUNK_OVERHEAD_BYTES;
    }

    private void flush() {
        if (channel == null) {
            return;
        }
        while (credit > 0 && !waiting.isEmpty()) {
            AnswerChunk chunk = waiting.removeFirst();
            credit -= chunk.getData().size();
            unconsumed.addLast(chunk);
            send(RunMessage.newBuilder().setChunk(chunk));
        }
        if (end != null && !endSent && waiting.isEmpty()) {
            endSent = true;
            deliveries++;
            send(RunMessage.newBuilder().setEnd(end));
        }
    }

    private void send(RunMessage.Builder message) {
        if (channel != null) {
            channel.send(Frame.newBuilder().setRun(message.setRunId(id)).build());
        }
    }
}
