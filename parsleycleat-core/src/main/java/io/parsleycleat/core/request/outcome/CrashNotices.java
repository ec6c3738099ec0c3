package io.parsleycleat.core.request.outcome;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.wire.outcome.CrashReport;
import io.parsleycleat.wire.outcome.OutcomeMessage;
import io.parsleycleat.wire.outcome.QuarantineNotice;
import io.parsleycleat.wire.outcome.RunningRequest;
import io.parsleycleat.wire.outcome.SuspicionEnd;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Tells crashes, quarantines and ended suspicions to all entries at once, without the log.
 *
 * <p>A side reports to every entry, and every entry passes on what is new to it, so that a lost message or a side that
 * dies after its first message leaves no entry behind. Messages are few: they follow crashes, not requests.
 *
 * <p>Created once by an entry or a side; safe to share between threads. The owner registers {@link #handle} for outcome
 * frames.
 */
public final class CrashNotices {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_WAIT = Duration.ofMillis(200);
    private static final int MAX_ATTEMPTS = 30;
    private static final int MAX_SEEN = 4096;

    private final CrashSuspects suspects;
    private final PeerClient peers;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private final Supplier<? extends Collection<String>> entryAddresses;
    private final Function<String, Optional<String>> sideAddress;
    private final Consumer<QuarantineNotice> onQuarantine;
    private final Map<OutcomeMessage, Boolean> seen = new LinkedHashMap<>();

    /**
     * Creates the spreader of a process.
     *
     * @param entryAddresses the peer addresses of the other entries, as of now
     * @param sideAddress the peer address of an upstream's side, as far as it is known
     * @param onQuarantine called once for each quarantine that is new here; an entry records it in the configuration
     */
    public CrashNotices(
            CrashSuspects suspects,
            PeerClient peers,
            TimeSource time,
            ScheduledExecutorService scheduler,
            Supplier<? extends Collection<String>> entryAddresses,
            Function<String, Optional<String>> sideAddress,
            Consumer<QuarantineNotice> onQuarantine) {
        this.suspects = suspects;
        this.peers = peers;
        this.time = time;
        this.scheduler = scheduler;
        this.entryAddresses = entryAddresses;
        this.sideAddress = sideAddress;
        this.onQuarantine = onQuarantine;
    }

    /**
     * Takes and tells that an upstream crashed with requests running on it. Completes when every entry knows, at the
     * latest after a fraction of a second, so that callers' repeats do not arrive ahead of the report.
     */
    public CompletableFuture<Void> crashed(String upstreamId, String incarnation, Collection<RunningRequest> requests) {
        CrashReport report = CrashReport.newBuilder()
                .setUpstreamId(upstreamId)
                .setUpstreamIncarnation(incarnation)
                .addAllFingerprints(requests.stream()
                        .map(RunningRequest::getFingerprint)
                        .distinct()
                        .toList())
                .addAllRequests(requests)
                .build();
        CompletableFuture<Void> known =
                take(OutcomeMessage.newBuilder().setCrashReport(report).build());
        CompletableFuture<Void> bounded = known.copy();
        Runnable endOfWait = () -> bounded.complete(null);
        scheduler.schedule(endOfWait, MAX_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        return bounded;
    }

    /** Takes and tells that a request ran to its end, if it was a suspect. */
    public void survived(String fingerprint) {
        if (suspects.standing(fingerprint, time.wallMillis()) == CrashSuspects.Standing.SUSPECT) {
            take(OutcomeMessage.newBuilder()
                    .setSuspicionEnd(SuspicionEnd.newBuilder().setFingerprint(fingerprint))
                    .build());
        }
    }

    /** Tells the side of a suspect's trial upstream what is known, before the request itself goes there. */
    public void forward(String fingerprint, String sideAddress) {
        suspects.reports(fingerprint)
                .forEach(r -> peers.send(
                        sideAddress,
                        frame(OutcomeMessage.newBuilder().setCrashReport(r).build())));
    }

    /** Handles an outcome frame of another process. */
    public void handle(PeerChannel from, Frame frame) {
        take(frame.getOutcome());
        if (frame.getCorrelationId() != 0) {
            from.reply(frame, Frame.newBuilder().setOutcome(OutcomeMessage.getDefaultInstance()));
        }
    }

    private CompletableFuture<Void> take(OutcomeMessage message) {
        long now = time.wallMillis();
        return switch (message.getMessageCase()) {
            case CRASH_REPORT -> isNew(message) ? takeReport(message, now) : CompletableFuture.completedFuture(null);
            case QUARANTINE_NOTICE -> {
                QuarantineNotice notice = message.getQuarantineNotice();
                yield suspects.onNotice(notice, now) ? begin(notice) : CompletableFuture.completedFuture(null);
            }
            case SUSPICION_END -> takeEnd(message, now);
            default -> CompletableFuture.completedFuture(null);
        };
    }

    private CompletableFuture<Void> takeReport(OutcomeMessage message, long now) {
        List<QuarantineNotice> begun = suspects.onCrash(message.getCrashReport(), now);
        CompletableFuture<Void> told = tell(message);
        return begun.stream().map(this::begin).reduce(told, CompletableFuture::allOf);
    }

    private CompletableFuture<Void> takeEnd(OutcomeMessage message, long now) {
        String fingerprint = message.getSuspicionEnd().getFingerprint();
        List<CrashReport> reports = suspects.reports(fingerprint);
        if (!suspects.onSurvived(fingerprint, now)) {
            return CompletableFuture.completedFuture(null);
        }
        reports.stream()
                .flatMap(r -> sideAddress.apply(r.getUpstreamId()).stream())
                .distinct()
                .forEach(address -> peers.send(address, frame(message)));
        return tell(message);
    }

    private CompletableFuture<Void> begin(QuarantineNotice notice) {
        logger.atWarning().log(
                "request %s is in quarantine after %d crashes", notice.getFingerprint(), notice.getCrashes());
        onQuarantine.accept(notice);
        return tell(OutcomeMessage.newBuilder().setQuarantineNotice(notice).build());
    }

    private CompletableFuture<Void> tell(OutcomeMessage message) {
        return CompletableFuture.allOf(entryAddresses.get().stream()
                .map(address -> tell(address, message, 1))
                .toArray(CompletableFuture<?>[]::new));
    }

    /** Completes when the peer has the message or is given up. */
    private CompletableFuture<Void> tell(String address, OutcomeMessage message, int attempt) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        peers.request(address, frame(message), REPLY_TIMEOUT).whenComplete((reply, failure) -> {
            boolean again = failure != null
                    && attempt < MAX_ATTEMPTS
                    && entryAddresses.get().contains(address);
            if (again) {
                Runnable next = () -> tell(address, message, attempt + 1).thenAccept(done::complete);
                scheduler.schedule(next, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            } else {
                done.complete(null);
            }
        });
        return done;
    }

    private boolean isNew(OutcomeMessage message) {
        synchronized (seen) {
            boolean isNew = seen.put(message, true) == null;
            if (seen.size() > MAX_SEEN) {
                seen.remove(seen.keySet().iterator().next());
            }
            return isNew;
        }
    }

    private static Frame.Builder frame(OutcomeMessage message) {
        return Frame.newBuilder().setOutcome(message);
    }
}
