package io.parsleycleat.gateway.process.gate;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.peer.FrameRouter;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.GateStatus;
import io.parsleycleat.wire.gate.StartGrant;
import io.parsleycleat.wire.gate.StartRequest;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Brings entries' frames to the gate, and the gate's status to the entries that use it.
 *
 * <p>One a side; safe to share between threads.
 */
public final class GateServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** An entry that has asked for nothing for so long is told nothing more. */
    private static final Duration INTEREST = Duration.ofSeconds(5);
    /** An unchanged status is repeated, so that entries notice a side that is silent. */
    private static final Duration REPEAT = Duration.ofMillis(500);
    /** A changed status is told at least so much later than the one before. */
    private static final Duration MIN_GAP = Duration.ofMillis(150);
    /** Statuses that a side sends in a second at most, to however many entries. */
    private static final int MAX_PER_SECOND = 40;

    private final EngineGate gate;
    private final TimeSource time;
    private final Runnable wake;
    private final Map<PeerChannel, Interested> entries = new ConcurrentHashMap<>();

    /** What an entry was last told. */
    private static final class Interested {
        private long askedNanos;
        private boolean expects;
        private GateStatus told = GateStatus.getDefaultInstance();
        private long toldNanos;

        /** Notes that the entry has asked for a start, and so expects statuses. */
        private synchronized void onAsk(long now) {
            askedNanos = now;
            if (!expects) {
                expects = true;
                told = GateStatus.getDefaultInstance();
                toldNanos = now - INTEREST.toNanos();
            }
        }

        private synchronized boolean isOver(long now) {
            return now - askedNanos > INTEREST.toNanos();
        }

        private synchronized boolean isDue(GateStatus status, long now, Duration gap, Duration repeat) {
            long since = now - toldNanos;
            return expects && (since >= repeat.toNanos() || (since >= gap.toNanos() && !status.equals(told)));
        }

        private synchronized boolean expects() {
            return expects;
        }

        private synchronized boolean isToldWithin(Duration gap, long now) {
            return expects && now - toldNanos < gap.toNanos();
        }

        /** Notes a status and returns it with the time of the next one; none follows the last one. */
        private synchronized GateStatus tell(GateStatus status, long now, Duration next) {
            told = status;
            toldNanos = now;
            expects = !next.isZero();
            return status.toBuilder().setNextMillis((int) next.toMillis()).build();
        }
    }

    /**
     * Creates a server and registers it for its frames.
     *
     * @param wake runs when a request may need an order
     */
    public GateServer(EngineGate gate, FrameRouter frames, TimeSource time, Runnable wake) {
        this.gate = gate;
        this.time = time;
        this.wake = wake;
        frames.register(Frame.BodyCase.GATE, this::handle);
    }

    /** Tells the interested entries what has changed. */
    public void tellStatus() {
        List<Map.Entry<PeerChannel, Interested>> expecting =
                entries.entrySet().stream().filter(e -> e.getValue().expects()).toList();
        if (expecting.isEmpty()) {
            return;
        }
        GateStatus status = gate.status();
        if (status.getEngineId().isEmpty()) {
            return;
        }
        long now = time.monotonicNanos();
        Duration gap = gap(expecting.size());
        Duration repeat = longer(gap, REPEAT);
        expecting.forEach(e -> {
            Interested entry = e.getValue();
            if (entry.isOver(now)) {
                send(e.getKey(), entry.tell(status, now, Duration.ZERO));
            } else if (entry.isDue(status, now, gap, repeat)) {
                send(e.getKey(), entry.tell(status, now, repeat));
            }
        });
    }

    /** The more entries use the engine, the less often each of them is told. */
    private static Duration gap(int entries) {
        return longer(MIN_GAP, Duration.ofSeconds(entries).dividedBy(MAX_PER_SECOND));
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    private static void send(PeerChannel to, GateStatus status) {
        to.send(Frame.newBuilder()
                .setGate(GateMessage.newBuilder().setStatus(status))
                .build());
    }

    private void handle(PeerChannel from, Frame frame) {
        GateMessage message = frame.getGate();
        switch (message.getMessageCase()) {
            case START -> start(from, frame, message.getStart());
            case PROGRESS -> {
                EngineGate.TicketKey key =
                        new EngineGate.TicketKey(from, message.getProgress().getTicket());
                gate.progress(key, message.getProgress().getStage());
            }
            default -> logger.atFine().log("a side takes no frame of kind %s", message.getMessageCase());
        }
    }

    private void start(PeerChannel from, Frame frame, StartRequest request) {
        long now = time.monotonicNanos();
        Interested entry = entries.computeIfAbsent(from, channel -> {
            channel.onClose(() -> left(channel));
            return new Interested();
        });
        entry.onAsk(now);
        gate.request(new EngineGate.TicketKey(from, request.getTicket()), request, grant -> {
            log(request, grant, now);
            StartGrant answer = withStatus(grant, entry);
            from.reply(
                    frame, Frame.newBuilder().setGate(GateMessage.newBuilder().setGrant(answer)));
        });
        wake.run();
    }

    /** An answer brings the status along, unless one was just told. */
    private StartGrant withStatus(StartGrant grant, Interested entry) {
        long now = time.monotonicNanos();
        if (entry.isToldWithin(MIN_GAP, now)) {
            return grant;
        }
        GateStatus status = gate.status();
        long expecting = entries.values().stream().filter(Interested::expects).count();
        return status.getEngineId().isEmpty()
                ? grant
                : grant.toBuilder()
                        .setStatus(entry.tell(status, now, longer(gap((int) expecting + 1), REPEAT)))
                        .build();
    }

    private void log(StartRequest request, StartGrant grant, long askedNanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - askedNanos);
        if (grant.getRefusalCode() != 0) {
            logger.atInfo()
                    .with(LogKeys.REQUEST, request.getRequestId())
                    .with(LogKeys.CODE, grant.getRefusalCode())
                    .with(LogKeys.ADAPTER, request.getModel() + "/" + request.getAdapter())
                    .log("start refused after %d ms, back in %d ms", millis, grant.getRetryAfterMillis());
        } else {
            logger.atInfo()
                    .with(LogKeys.REQUEST, request.getRequestId())
                    .with(LogKeys.CODE, ResultCode.DONE.number())
                    .with(LogKeys.ADAPTER, request.getModel() + "/" + request.getAdapter())
                    .log("start granted after %d ms, version %d", millis, grant.getVersion());
        }
    }

    private void left(PeerChannel channel) {
        entries.remove(channel);
        gate.callerGone(channel);
    }
}
