package io.parsleycleat.gateway.request.crash;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.CrashAttribution;
import io.parsleycleat.core.request.outcome.CrashAttribution.NewQuarantines;
import io.parsleycleat.core.request.outcome.CrashAttribution.PartQuarantine;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.PromptPartNotice;
import io.parsleycleat.wire.gate.QuarantinedPart;
import io.parsleycleat.wire.gate.RequestAtRisk;
import io.parsleycleat.wire.gate.UpstreamCrash;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Distinguishes crashes of upstreams from lost connections, and refuses requests that crash upstreams.
 *
 * <p>A lost connection alone is no evidence of a crash. It counts as one if, within a short time, a new connection to
 * the upstream is refused, the upstream is gone or has restarted, or another entry found that it crashed. Each entry
 * reports its own requests to all others, so that all of them attribute a crash alike.
 *
 * <p>One instance per entry; guarded by its own lock.
 */
public final class CrashDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Time after a lost connection within which the upstream must be found down for it to count as a crash. */
    private static final Duration CONFIRMATION_WINDOW = Duration.ofSeconds(8);

    private static final int MAX_LOGGED_REQUESTS = 20;

    private final CrashAttribution attribution;
    private final TimeSource time;
    private final Consumer<GateMessage> notifyOthers;
    private final Map<String, List<LostRequest>> lostRequestsByStart = new HashMap<>();
    private final Map<String, Long> crashNanosByStart = new HashMap<>();

    /** A request whose connection was lost. */
    private record LostRequest(InterruptedRequest request, long lostNanos) {}

    /**
     * Creates a detector without recorded connection losses.
     *
     * @param notifyOthers sends a message to all other entries
     */
    public CrashDetector(CrashAttribution attribution, TimeSource time, Consumer<GateMessage> notifyOthers) {
        this.attribution = attribution;
        this.time = time;
        this.notifyOthers = notifyOthers;
    }

    // Requests

    /** Returns whether a request that was admitted before may be sent, that is, whether it is not in quarantine. */
    public boolean maySend(String fingerprint, Collection<String> sharedParts) {
        return !attribution.isQuarantined(fingerprint, sharedParts, time.wallMillis());
    }

    /** Returns whether a new request may be sent, where a part whose quarantine has ended admits one on trial. */
    public boolean admit(String fingerprint, Collection<String> sharedParts) {
        return attribution.admit(fingerprint, sharedParts, time.wallMillis());
    }

    /** Records that a connection was lost while a request was running on it. */
    public void onConnectionLost(Upstream upstream, InterruptedRequest request) {
        if (recordLoss(upstream, request)) {
            reportCrash(upstream);
        }
    }

    /** Records that a request was answered as a whole by an upstream that went on running. */
    public void onRequestSurvived(String fingerprint, Collection<String> sharedParts) {
        attribution.onRequestSurvived(fingerprint, time.wallMillis());
        onAnswerSurvived(sharedParts);
    }

    /** Records that an answer on these parts of a prompt was written for a while without a crash. */
    public void onAnswerSurvived(Collection<String> sharedParts) {
        tellCleared(attribution.onPartsSurvived(sharedParts, time.wallMillis()));
    }

    // Crashes

    /** Reports a crash of an upstream that is gone, restarted or refuses connections, if requests on it were lost. */
    public void onUpstreamDown(Upstream upstream) {
        reportCrash(upstream);
    }

    /** Handles the crash that another entry reports, by which the losses of this entry are known to be crashes too. */
    public void onCrashNotice(UpstreamCrash crash) {
        String start = startKey(crash.getUpstreamId(), crash.getIncarnation());
        List<LostRequest> lost = takeLostRequests(start, true);
        if (!lost.isEmpty()) {
            report(crash.getUpstreamId(), crash.getIncarnation(), lost);
        }
        attribute(start, crash);
    }

    private void reportCrash(Upstream upstream) {
        List<LostRequest> lost = takeLostRequests(startKey(upstream.id(), upstream.startMillis()), false);
        if (!lost.isEmpty()) {
            report(upstream.id(), upstream.startMillis(), lost);
        }
    }

    private void report(String upstreamId, long startMillis, List<LostRequest> lost) {
        logCrash(upstreamId, lost);
        UpstreamCrash crash = UpstreamCrash.newBuilder()
                .setUpstreamId(upstreamId)
                .setIncarnation(startMillis)
                .addAllRequests(lost.stream()
                        .map(l -> RequestAtRisk.newBuilder()
                                .setFingerprint(l.request().fingerprint())
                                .addAllSharedParts(l.request().partsAtRisk())
                                .build())
                        .toList())
                .build();
        attribute(startKey(upstreamId, startMillis), crash);
        notifyOthers.accept(GateMessage.newBuilder().setCrash(crash).build());
    }

    private void attribute(String start, UpstreamCrash crash) {
        List<CrashAttribution.RequestAtRisk> atRisk = crash.getRequestsList().stream()
                .map(r -> new CrashAttribution.RequestAtRisk(r.getFingerprint(), r.getSharedPartsList()))
                .toList();
        NewQuarantines begun = attribution.onCrash(start, atRisk, time.wallMillis());
        begun.requests().forEach(f -> logger.atWarning().log("request %s is in quarantine: it crashed upstreams", f));
        begun.parts().forEach((part, quarantine) -> logQuarantine(part, quarantine, "attributed here"));
        if (!begun.parts().isEmpty()) {
            PromptPartNotice notice = PromptPartNotice.newBuilder()
                    .addAllQuarantined(encode(begun.parts()))
                    .build();
            notifyOthers.accept(GateMessage.newBuilder().setParts(notice).build());
        }
    }

    // Quarantines of parts

    /** Handles what another entry found out about parts of prompts. */
    public void onPartNotice(PromptPartNotice notice) {
        notice.getClearedList().forEach(part -> {
            attribution.onPartCleared(part, time.wallMillis());
            logger.atInfo().log("prompt part %s is sound, says another entry", part);
        });
        onQuarantinedParts(notice.getQuarantinedList());
    }

    /** Takes the quarantines that another entry, or an earlier process of this one, knew. */
    public void onQuarantinedParts(Collection<QuarantinedPart> parts) {
        Map<String, PartQuarantine> before = attribution.partQuarantines();
        List<String> knownAsSound = parts.stream()
                .filter(p -> !takeQuarantine(p, before.get(p.getPart())))
                .map(QuarantinedPart::getPart)
                .toList();
        tellCleared(knownAsSound);
    }

    /** Returns the quarantines of parts, for the record by which entries that start later learn them. */
    public List<QuarantinedPart> quarantinedParts() {
        return encode(attribution.partQuarantines());
    }

    private boolean takeQuarantine(QuarantinedPart part, @Nullable PartQuarantine before) {
        PartQuarantine quarantine = new PartQuarantine(part.getEndsMillis(), Duration.ofMillis(part.getLengthMillis()));
        boolean taken = attribution.onPartQuarantined(part.getPart(), quarantine, time.wallMillis());
        if (taken && (before == null || before.endMillis() < quarantine.endMillis())) {
            logQuarantine(part.getPart(), quarantine, "attributed by another entry");
        }
        return taken;
    }

    private void tellCleared(List<String> parts) {
        if (parts.isEmpty()) {
            return;
        }
        logger.atInfo().log("prompt parts %s are sound: answers on them were written", parts);
        PromptPartNotice notice =
                PromptPartNotice.newBuilder().addAllCleared(parts).build();
        notifyOthers.accept(GateMessage.newBuilder().setParts(notice).build());
    }

    private static List<QuarantinedPart> encode(Map<String, PartQuarantine> parts) {
        return parts.entrySet().stream()
                .map(e -> QuarantinedPart.newBuilder()
                        .setPart(e.getKey())
                        .setEndsMillis(e.getValue().endMillis())
                        .setLengthMillis(e.getValue().length().toMillis())
                        .build())
                .toList();
    }

    // Lost connections

    /** Records a loss. Returns whether it is known already that the upstream crashed. */
    private synchronized boolean recordLoss(Upstream upstream, InterruptedRequest request) {
        String start = startKey(upstream.id(), upstream.startMillis());
        List<LostRequest> lost = lostRequestsByStart.computeIfAbsent(start, id -> new ArrayList<>());
        removeExpired(lost);
        lost.add(new LostRequest(request, time.monotonicNanos()));
        return crashNanosByStart.containsKey(start);
    }

    /**
     * Removes and returns the requests that were lost on an upstream which is now known to have crashed. The crash is
     * remembered if requests were lost or another entry reported it, so that later losses count at once.
     */
    private synchronized List<LostRequest> takeLostRequests(String start, boolean reported) {
        crashNanosByStart.values().removeIf(nanos -> isExpired(nanos));
        List<LostRequest> lost = lostRequestsByStart.remove(start);
        if (lost != null) {
            removeExpired(lost);
        }
        boolean anyLost = lost != null && !lost.isEmpty();
        if (anyLost || reported) {
            crashNanosByStart.putIfAbsent(start, time.monotonicNanos());
        }
        return anyLost ? lost : List.of();
    }

    private void removeExpired(List<LostRequest> lost) {
        lost.removeIf(l -> isExpired(l.lostNanos()));
    }

    private boolean isExpired(long nanos) {
        return time.monotonicNanos() - nanos > CONFIRMATION_WINDOW.toNanos();
    }

    private static String startKey(String upstreamId, long startMillis) {
        return upstreamId + '/' + startMillis;
    }

    // Log lines

    private void logCrash(String upstreamId, List<LostRequest> lost) {
        long now = time.monotonicNanos();
        long sinceFirstLoss = TimeUnit.NANOSECONDS.toMillis(
                now - lost.stream().mapToLong(LostRequest::lostNanos).min().orElse(now));
        String shown = lost.stream()
                .limit(MAX_LOGGED_REQUESTS)
                .map(l -> l.request().toString())
                .collect(Collectors.joining(", "));
        logger.atWarning()
                .with(LogKeys.UPSTREAM, upstreamId)
                .log(
                        "upstream crashed with %d requests running, the first was lost %d ms ago: %s",
                        lost.size(), sinceFirstLoss, shown);
    }

    private void logQuarantine(String part, PartQuarantine quarantine, String source) {
        logger.atWarning().log(
                "requests with prompt part %s are refused for %d s of %d s: it crashes upstreams, %s",
                part,
                TimeUnit.MILLISECONDS.toSeconds(quarantine.endMillis() - time.wallMillis()),
                quarantine.length().toSeconds(),
                source);
    }
}
