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
    private static final Duration INTEREST = Duration.ofSeconds(30);
    /** An unchanged status is repeated, so that entries notice a side that is silent. */
    private static final Duration REPEAT = Duration.ofMillis(500);

    private final EngineGate gate;
    private final TimeSource time;
    private final Runnable wake;
    private final Map<PeerChannel, Interested> entries = new ConcurrentHashMap<>();

    /** What an entry was last told. */
    private static final class Interested {
        private volatile long askedNanos;
        private GateStatus told = GateStatus.getDefaultInstance();
        private long toldNanos;

        Interested(long nanos) {
            askedNanos = nanos;
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
        GateStatus status = gate.status();
        if (status.getEngineId().isEmpty()) {
            return;
        }
        long now = time.monotonicNanos();
        entries.forEach((channel, entry) -> {
            if (now - entry.askedNanos > INTEREST.toNanos()) {
                return;
            }
            if (status.equals(entry.told) && now - entry.toldNanos < REPEAT.toNanos()) {
                return;
            }
            entry.told = status;
            entry.toldNanos = now;
            channel.send(Frame.newBuilder()
                    .setGate(GateMessage.newBuilder().setStatus(status))
                    .build());
        });
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
        entries.computeIfAbsent(from, channel -> {
                    channel.onClose(() -> left(channel));
                    return new Interested(now);
                })
                .askedNanos = now;
        gate.request(new EngineGate.TicketKey(from, request.getTicket()), request, grant -> {
            log(request, grant, now);
            from.reply(
                    frame, Frame.newBuilder().setGate(GateMessage.newBuilder().setGrant(grant)));
        });
        wake.run();
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
