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
 * Passes frames from entries to the gate, and sends the gate's status to the entries that use it.
 *
 * <p>A start request subscribes an entry to statuses. The subscription ends when the entry has not sent a start request
 * for a while.
 *
 * <p>One instance per side; thread-safe.
 */
public final class GateServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Time without a start request after which an entry is sent no more statuses. */
    private static final Duration INTEREST = Duration.ofSeconds(5);
    /** Interval at which an unchanged status is sent again, so that entries can detect a failed side. */
    private static final Duration REPEAT = Duration.ofMillis(500);
    /** Minimum time between two statuses for one entry. */
    private static final Duration MIN_GAP = Duration.ofMillis(150);
    /** Maximum rate of statuses of a side, over all entries. */
    private static final int MAX_PER_SECOND = 40;

    private final EngineGate gate;
    private final TimeSource time;
    private final Runnable wake;
    private final Map<PeerChannel, Interested> entries = new ConcurrentHashMap<>();

    /** The last status sent to an entry, and whether the entry expects more. */
    private static final class Interested {
        private long askedNanos;
        private boolean expects;
        private GateStatus told = GateStatus.getDefaultInstance();
        private long toldNanos;

        /** Records a start request, which subscribes the entry to statuses. */
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

        /** Records a status as sent and returns it with the time until the next; zero marks the last one. */
        private synchronized GateStatus tell(GateStatus status, long now, Duration next) {
            told = status;
            toldNanos = now;
            expects = !next.isZero();
            return status.toBuilder().setNextMillis((int) next.toMillis()).build();
        }
    }

    /**
     * Creates a server and registers it as the handler of gate frames.
     *
     * @param wake called after each start request, which may need an order to the engine
     */
    public GateServer(EngineGate gate, FrameRouter frames, TimeSource time, Runnable wake) {
        this.gate = gate;
        this.time = time;
        this.wake = wake;
        frames.register(Frame.BodyCase.GATE, this::handle);
    }

    /** Sends the status to each subscribed entry that is due for one. */
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

    /** Returns the status interval per entry; it grows with the number of entries to bound the side's total rate. */
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
                gate.onProgress(key, message.getProgress().getStage());
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
        gate.requestStart(new EngineGate.TicketKey(from, request.getTicket()), request, grant -> {
            log(request, grant, now);
            StartGrant answer = withStatus(grant, entry);
            from.reply(
                    frame, Frame.newBuilder().setGate(GateMessage.newBuilder().setGrant(answer)));
        });
        wake.run();
    }

    /** Adds the current status to an answer, unless the entry was sent one recently. */
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
        gate.onCallerDisconnected(channel);
    }
}
