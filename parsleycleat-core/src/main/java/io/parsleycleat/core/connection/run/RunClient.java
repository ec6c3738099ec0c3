package io.parsleycleat.core.connection.run;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.peer.FrameRouter;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.Cancel;
import io.parsleycleat.wire.run.Credit;
import io.parsleycleat.wire.run.Resume;
import io.parsleycleat.wire.run.RunId;
import io.parsleycleat.wire.run.RunMessage;
import io.parsleycleat.wire.run.Start;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Starts runs on sides and passes their answers on, resuming them after a lost connection.
 *
 * <p>One an entry; safe to share between threads.
 */
public final class RunClient {
    /** Bytes of answer that a side may send before the caller has taken any. */
    public static final int WINDOW_BYTES = 256 * 1024;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Connections in a row that a run is resumed after although nothing arrived on them. */
    private static final int MAX_RESUMES = 4;

    private static final Duration RESUME_DELAY = Duration.ofMillis(200);

    private final PeerClient peers;
    private final ScheduledExecutorService scheduler;
    private final long incarnation;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<RunId, ClientRun> runs = new ConcurrentHashMap<>();
    private final ChannelRuns<ClientRun> channels = new ChannelRuns<>((run, channel) -> run.connectionLost());

    /** Creates a client and registers it for the frames of runs. */
    public RunClient(PeerClient peers, FrameRouter router, ScheduledExecutorService scheduler, long incarnation) {
        this.peers = peers;
        this.scheduler = scheduler;
        this.incarnation = incarnation;
        router.register(Frame.BodyCase.RUN, (from, frame) -> dispatch(frame.getRun()));
    }

    /** Starts a run on the side at an address. */
    public void start(String sideAddress, Start start, RunListener listener) {
        RunId id = RunId.newBuilder()
                .setIncarnation(incarnation)
                .setSequence(sequence.incrementAndGet())
                .build();
        ClientRun run = new ClientRun(id, sideAddress, listener);
        runs.put(id, run);
        listener.onStart(run);
        run.open(RunMessage.newBuilder()
                .setRunId(id)
                .setStart(start.toBuilder().setInitialCreditBytes(WINDOW_BYTES))
                .build());
    }

    /** Returns how many runs have not ended. */
    public int openRuns() {
        return runs.size();
    }

    private void dispatch(RunMessage message) {
        ClientRun run = runs.get(message.getRunId());
        if (run == null) {
            logger.atFine().log("a frame for run %s, which has ended", message.getRunId());
            return;
        }
        run.receive(message);
    }

    /** One run. Its state is guarded by its own lock; the listener is called outside of it, in order. */
    private final class ClientRun implements RunHandle {
        private final RunId id;
        private final String address;
        private final RunListener listener;
        private final Object lock = new Object();
        private long nextSequence;
        private @Nullable PeerChannel current;
        private boolean headSeen;
        private boolean ended;
        private boolean startSent;
        private boolean cancelled;
        private int lossesInARow;

        ClientRun(RunId id, String address, RunListener listener) {
            this.id = id;
            this.address = address;
            this.listener = listener;
        }

        @Override
        public void consumed(int bytes) {
            send(RunMessage.newBuilder().setCredit(Credit.newBuilder().setBytes(bytes)));
        }

        /** Cancels the run at its side, or ends it at once when nothing was sent to the side yet. */
        @Override
        public void cancel(String reason) {
            boolean sent;
            synchronized (lock) {
                cancelled = true;
                sent = startSent;
            }
            if (sent) {
                send(RunMessage.newBuilder().setCancel(Cancel.newBuilder().setReason(reason)));
            } else {
                end(failure(ResultCode.CALLER_GONE, reason).build());
            }
        }

        void open(RunMessage first) {
            guard(() -> peers.connect(address)
                    .whenComplete((channel, failure) -> guard(() -> {
                        if (failure == null) {
                            send(channel, first);
                        } else {
                            connectionFailed(String.valueOf(failure.getMessage()));
                        }
                    })));
        }

        private void send(PeerChannel channel, RunMessage first) {
            synchronized (lock) {
                if (ended) {
                    return;
                }
                startSent = true;
                current = channel;
                // Under the lock, so that a cancellation cannot overtake the start.
                channel.send(Frame.newBuilder().setRun(first).build());
            }
            channels.add(channel, this);
        }

        /** Runs a step; an unexpected failure ends the run, since nothing else would. */
        private void guard(Runnable step) {
            try {
                step.run();
            } catch (RuntimeException | Error e) {
                logger.atSevere().withCause(e).with(LogKeys.PEER, address).log("unexpected failure of a run");
                boolean sent;
                synchronized (lock) {
                    sent = startSent;
                }
                ResultCode code = sent ? ResultCode.FAILURE_UNEXPECTED : ResultCode.FAILURE_BEFORE_RUN;
                end(failure(code, code.meaning()).build());
                if (sent) {
                    peers.send(address, frame(RunMessage.newBuilder().setCancel(Cancel.getDefaultInstance())));
                }
            }
        }

        void receive(RunMessage message) {
            synchronized (lock) {
                lossesInARow = 0;
            }
            switch (message.getMessageCase()) {
                case HEAD -> receiveHead(message);
                case CHUNK -> receiveChunk(message);
                case END -> end(message.getEnd());
                default -> logger.atWarning().log("an entry takes no %s", message.getMessageCase());
            }
        }

        private void receiveHead(RunMessage message) {
            boolean first;
            synchronized (lock) {
                first = !headSeen && !ended;
                headSeen = true;
            }
            if (first) {
                listener.onHead(message.getHead());
            }
        }

        private void receiveChunk(RunMessage message) {
            long received = message.getChunk().getSequence();
            boolean next;
            boolean gap;
            synchronized (lock) {
                next = !ended && received == nextSequence;
                gap = !ended && received > nextSequence;
                if (next) {
                    nextSequence++;
                }
            }
            if (next) {
                listener.onChunk(message.getChunk());
            } else if (gap) {
                failIncomplete("a gap before chunk " + received);
            }
        }

        private void end(AnswerEnd end) {
            boolean whole;
            PeerChannel used;
            synchronized (lock) {
                if (ended) {
                    return;
                }
                used = current;
                whole = end.getCode() != ResultCode.DONE.number() || end.getChunkCount() == nextSequence;
                ended = true;
            }
            runs.remove(id);
            if (used != null) {
                channels.remove(used, this);
            }
            listener.onEnd(
                    whole
                            ? end
                            : failure(ResultCode.ANSWER_INCOMPLETE, "chunks are missing at the end")
                                    .build());
        }

        private void failIncomplete(String detail) {
            cancel(detail);
            end(failure(ResultCode.ANSWER_INCOMPLETE, detail).build());
        }

        private void connectionFailed(String detail) {
            boolean neverSent;
            synchronized (lock) {
                neverSent = !startSent;
            }
            if (neverSent) {
                end(failure(ResultCode.UPSTREAM_UNREACHABLE, detail).build());
            } else {
                connectionLost();
            }
        }

        private void connectionLost() {
            boolean giveUp;
            synchronized (lock) {
                if (ended) {
                    return;
                }
                lossesInARow++;
                giveUp = lossesInARow > MAX_RESUMES || cancelled;
            }
            if (giveUp) {
                end(failure(ResultCode.SIDE_LOST, "the side cannot be reached again")
                        .build());
            } else {
                scheduler.schedule(this::resume, RESUME_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            }
        }

        private void resume() {
            long next;
            synchronized (lock) {
                if (ended) {
                    return;
                }
                next = nextSequence;
            }
            logger.atInfo().with(LogKeys.PEER, address).log("resuming a run at chunk %d", next);
            open(RunMessage.newBuilder()
                    .setRunId(id)
                    .setResume(Resume.newBuilder().setNextSequence(next).setInitialCreditBytes(WINDOW_BYTES))
                    .build());
        }

        private void send(RunMessage.Builder message) {
            boolean open;
            synchronized (lock) {
                open = !ended;
            }
            if (open) {
                peers.send(address, frame(message));
            }
        }

        private Frame.Builder frame(RunMessage.Builder message) {
            return Frame.newBuilder().setRun(message.setRunId(id));
        }

        private AnswerEnd.Builder failure(ResultCode code, String detail) {
            return AnswerEnd.newBuilder().setCode(code.number()).setDetail(detail);
        }
    }
}
