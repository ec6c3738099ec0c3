package io.parsleycleat.gateway.request.crash;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.CrashSuspects;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.UpstreamCrash;
import io.parsleycleat.wire.outcome.CrashReport;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Distinguishes crashes of upstreams from lost connections, and records which requests were running at a crash.
 *
 * <p>A lost connection alone is no evidence of a crash. It counts as one if, within a short time, a new connection to
 * the upstream is refused, or the upstream is gone or has restarted.
 *
 * <p>One instance per entry; guarded by its own lock.
 */
public final class CrashDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Time after a lost connection within which the upstream must be found down for it to count as a crash. */
    private static final Duration CONFIRMATION_WINDOW = Duration.ofSeconds(8);

    private static final int MAX_LOGGED_REQUESTS = 20;

    private final CrashSuspects suspects;
    private final TimeSource time;
    private final Consumer<UpstreamCrash> notifyOthers;
    private final Map<String, List<LostRequest>> lostRequestsByStart = new HashMap<>();

    /** A request whose connection was lost. */
    private record LostRequest(InterruptedRequest request, long lostNanos) {}

    /**
     * Creates a detector without recorded connection losses.
     *
     * @param notifyOthers sends a crash to the other entries
     */
    public CrashDetector(CrashSuspects suspects, TimeSource time, Consumer<UpstreamCrash> notifyOthers) {
        this.suspects = suspects;
        this.time = time;
        this.notifyOthers = notifyOthers;
    }

    /** Returns whether a request may be sent to an upstream, that is, whether it is not in quarantine. */
    public boolean maySend(String fingerprint) {
        return suspects.standing(fingerprint, time.wallMillis()) != CrashSuspects.Standing.QUARANTINED;
    }

    /** Records that a connection was lost while a request was running on it. */
    public synchronized void onConnectionLost(Upstream upstream, InterruptedRequest request) {
        List<LostRequest> lost = lostRequestsByStart.computeIfAbsent(startKey(upstream), id -> new ArrayList<>());
        removeExpired(lost);
        lost.add(new LostRequest(request, time.monotonicNanos()));
    }

    /** Records that a request completed, which clears it of suspicion. */
    public void onRequestCompleted(String fingerprint) {
        suspects.onSurvived(fingerprint, time.wallMillis());
    }

    /** Reports a crash of an upstream that is gone, restarted or refuses connections, if requests on it were lost. */
    public void onUpstreamDown(Upstream upstream) {
        Optional<UpstreamCrash> crash = confirmCrash(upstream);
        crash.ifPresent(c -> {
            recordCrash(c);
            notifyOthers.accept(c);
        });
    }

    /** Records a crash that this or another entry detected. */
    public void recordCrash(UpstreamCrash crash) {
        CrashReport report = CrashReport.newBuilder()
                .setUpstreamId(crash.getUpstreamId())
                .setUpstreamIncarnation(Long.toString(crash.getIncarnation()))
                .addAllFingerprints(crash.getFingerprintsList())
                .build();
        suspects.onCrash(report, time.wallMillis())
                .forEach(q -> logger.atWarning().log(
                        "request %s is in quarantine after %d crashes", q.getFingerprint(), q.getCrashes()));
    }

    private synchronized Optional<UpstreamCrash> confirmCrash(Upstream upstream) {
        List<LostRequest> lost = lostRequestsByStart.remove(startKey(upstream));
        if (lost == null) {
            return Optional.empty();
        }
        removeExpired(lost);
        if (lost.isEmpty()) {
            return Optional.empty();
        }
        logCrash(upstream, lost);
        return Optional.of(UpstreamCrash.newBuilder()
                .setUpstreamId(upstream.id())
                .setIncarnation(upstream.startMillis())
                .addAllFingerprints(lost.stream()
                        .map(l -> l.request().fingerprint())
                        .distinct()
                        .toList())
                .build());
    }

    private void logCrash(Upstream upstream, List<LostRequest> lost) {
        long now = time.monotonicNanos();
        long sinceFirstLoss = TimeUnit.NANOSECONDS.toMillis(
                now - lost.stream().mapToLong(LostRequest::lostNanos).min().orElse(now));
        String shown = lost.stream()
                .limit(MAX_LOGGED_REQUESTS)
                .map(l -> l.request().toString())
                .collect(Collectors.joining(", "));
        logger.atWarning()
                .with(LogKeys.UPSTREAM, upstream.id())
                .log(
                        "upstream crashed with %d requests running, the first was lost %d ms ago: %s",
                        lost.size(), sinceFirstLoss, shown);
    }

    private void removeExpired(List<LostRequest> lost) {
        long oldest = time.monotonicNanos() - TimeUnit.MILLISECONDS.toNanos(CONFIRMATION_WINDOW.toMillis());
        lost.removeIf(l -> l.lostNanos() - oldest < 0);
    }

    private static String startKey(Upstream upstream) {
        return upstream.id() + '/' + upstream.startMillis();
    }
}
