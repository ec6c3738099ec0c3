package io.parsleycleat.gateway.process.gate;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.peer.FrameRouter;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.GateStatus;
import io.parsleycleat.wire.gate.RunProgress;
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
    private static final Duration SUBSCRIPTION_TIMEOUT = Duration.ofSeconds(5);
    /** Interval at which an unchanged status is sent again, so that entries can detect a failed side. */
    private static final Duration STATUS_REPEAT_INTERVAL = Duration.ofMillis(500);
    /** Minimum time between two statuses for one entry. */
    private static final Duration MIN_STATUS_INTERVAL = Duration.ofMillis(150);
    /** Maximum rate of statuses of a side, over all entries. */
    private static final int MAX_STATUSES_PER_SECOND = 40;

    private final EngineGate gate;
    private final TimeSource time;
    private final Runnable onStartRequested;
    private final StartWaits waits;
    private final Map<PeerChannel, StatusSubscription> subscriptions = new ConcurrentHashMap<>();

    /** The last status sent to an entry, and whether the entry expects more. */
    private static final class StatusSubscription {
        private long lastRequestNanos;
        private boolean isActive;
        private GateStatus lastStatus = GateStatus.getDefaultInstance();
        private long lastStatusNanos;

        /** Records a start request, which subscribes the entry to statuses. */
        private synchronized void onStartRequest(long now) {
            lastRequestNanos = now;
            if (!isActive) {
                isActive = true;
                lastStatus = GateStatus.getDefaultInstance();
                lastStatusNanos = now - SUBSCRIPTION_TIMEOUT.toNanos();
            }
        }

        private synchronized boolean isExpired(long now) {
            return now - lastRequestNanos > SUBSCRIPTION_TIMEOUT.toNanos();
        }

        private synchronized boolean isDue(GateStatus status, long now, Duration minInterval, Duration repeatInterval) {
            long since = now - lastStatusNanos;
            return isActive
                    && (since >= repeatInterval.toNanos()
                            || (since >= minInterval.toNanos() && !status.equals(lastStatus)));
        }

        private synchronized boolean isActive() {
            return isActive;
        }

        private synchronized boolean wasSentWithin(Duration interval, long now) {
            return isActive && now - lastStatusNanos < interval.toNanos();
        }

        /** Records a status as sent and returns it with the time until the next; zero marks the last one. */
        private synchronized GateStatus recordStatus(GateStatus status, long now, Duration nextInterval) {
            lastStatus = status;
            lastStatusNanos = now;
            isActive = !nextInterval.isZero();
            return status.toBuilder()
                    .setNextMillis((int) nextInterval.toMillis())
                    .build();
        }
    }

    /**
     * Creates a server and registers it as the handler of gate frames.
     *
     * @param onStartRequested called after each start request, which may need an order to the engine
     * @param metrics where the waits for a start are counted
     */
    public GateServer(
            EngineGate gate, FrameRouter frames, TimeSource time, Runnable onStartRequested, MetricRegistry metrics) {
        this.gate = gate;
        this.time = time;
        this.onStartRequested = onStartRequested;
        this.waits = new StartWaits(metrics);
        frames.register(Frame.BodyCase.GATE, this::handle);
    }

    /** Sends the status to each subscribed entry that is due for one. */
    public void sendStatuses() {
        List<Map.Entry<PeerChannel, StatusSubscription>> active = subscriptions.entrySet().stream()
                .filter(e -> e.getValue().isActive())
                .toList();
        if (active.isEmpty()) {
            return;
        }
        GateStatus status = gate.status();
        if (status.getEngineId().isEmpty()) {
            return;
        }
        long now = time.monotonicNanos();
        Duration interval = statusInterval(active.size());
        Duration repeatInterval = max(interval, STATUS_REPEAT_INTERVAL);
        active.forEach(e -> {
            StatusSubscription subscription = e.getValue();
            if (subscription.isExpired(now)) {
                send(e.getKey(), subscription.recordStatus(status, now, Duration.ZERO));
            } else if (subscription.isDue(status, now, interval, repeatInterval)) {
                send(e.getKey(), subscription.recordStatus(status, now, repeatInterval));
            }
        });
    }

    /** Returns the status interval per entry; it grows with the number of entries to bound the side's total rate. */
    private static Duration statusInterval(int entries) {
        return max(MIN_STATUS_INTERVAL, Duration.ofSeconds(entries).dividedBy(MAX_STATUSES_PER_SECOND));
    }

    private static Duration max(Duration one, Duration other) {
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
            case START -> handleStart(from, frame, message.getStart());
            case PROGRESS -> handleProgress(from, message.getProgress());
            default -> logger.atFine().log("ignored a gate message of type %s", message.getMessageCase());
        }
    }

    private void handleProgress(PeerChannel from, RunProgress progress) {
        EngineGate.TicketKey key = new EngineGate.TicketKey(from, progress.getTicket());
        if (progress.getStage() == RunProgress.Stage.ANSWERED) {
            gate.onAnswered(key, progress.hasNamedLimit() ? RequestLimit.of(progress.getNamedLimit()) : null);
        } else {
            gate.onProgress(key, progress.getStage());
        }
    }

    private void handleStart(PeerChannel from, Frame frame, StartRequest request) {
        long now = time.monotonicNanos();
        StatusSubscription subscription = subscriptions.computeIfAbsent(from, channel -> {
            channel.onClose(() -> onDisconnected(channel));
            return new StatusSubscription();
        });
        subscription.onStartRequest(now);
        gate.requestStart(new EngineGate.TicketKey(from, request.getTicket()), request, grant -> {
            recordAnswer(request, grant, now);
            StartGrant answer = withStatus(grant, subscription);
            from.reply(
                    frame, Frame.newBuilder().setGate(GateMessage.newBuilder().setGrant(answer)));
        });
        onStartRequested.run();
    }

    /** Adds the current status to an answer, unless the entry was sent one recently. */
    private StartGrant withStatus(StartGrant grant, StatusSubscription subscription) {
        long now = time.monotonicNanos();
        if (subscription.wasSentWithin(MIN_STATUS_INTERVAL, now)) {
            return grant;
        }
        GateStatus status = gate.status();
        long activeCount = subscriptions.values().stream()
                .filter(StatusSubscription::isActive)
                .count();
        return status.getEngineId().isEmpty()
                ? grant
                : grant.toBuilder()
                        .setStatus(subscription.recordStatus(
                                status, now, max(statusInterval((int) activeCount + 1), STATUS_REPEAT_INTERVAL)))
                        .build();
    }

    private void recordAnswer(StartRequest request, StartGrant grant, long arrivalNanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - arrivalNanos);
        if (grant.getRefusalCode() != 0) {
            logger.atInfo()
                    .with(LogKeys.REQUEST, request.getRequestId())
                    .with(LogKeys.CODE, grant.getRefusalCode())
                    .with(LogKeys.ADAPTER, request.getModel() + "/" + request.getAdapter())
                    .log("start refused after %d ms, back in %d ms", millis, grant.getRetryAfterMillis());
        } else {
            waits.onGranted(request.getPromptTokens(), millis);
            logger.atInfo()
                    .with(LogKeys.REQUEST, request.getRequestId())
                    .with(LogKeys.CODE, ResultCode.DONE.number())
                    .with(LogKeys.ADAPTER, request.getModel() + "/" + request.getAdapter())
                    .log(
                            "start granted after %d ms, version %d, %d prompt tokens",
                            millis, grant.getVersion(), request.getPromptTokens());
        }
    }

    private void onDisconnected(PeerChannel channel) {
        subscriptions.remove(channel);
        gate.onCallerDisconnected(channel);
    }
}
