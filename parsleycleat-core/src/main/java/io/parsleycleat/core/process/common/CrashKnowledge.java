package io.parsleycleat.core.process.common;

import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.request.outcome.CrashNotices;
import io.parsleycleat.core.request.outcome.CrashSuspects;
import io.parsleycleat.wire.outcome.QuarantineNotice;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * What a process knows of requests that crash upstreams, and how it hears and tells of them.
 *
 * <p>Created once by an entry or a side; safe to share between threads.
 */
public record CrashKnowledge(CrashSuspects suspects, CrashNotices notices) {
    private static final Duration SUSPICION = Duration.ofMinutes(10);
    private static final Duration QUARANTINE = Duration.ofMinutes(30);

    public CrashKnowledge {
        Objects.requireNonNull(suspects, "suspects");
        Objects.requireNonNull(notices, "notices");
    }

    /** Creates the knowledge of a process and registers it for frames and configuration changes. */
    public static CrashKnowledge create(ProcessBase base, Consumer<QuarantineNotice> onQuarantine) {
        CrashSuspects suspects = new CrashSuspects(SUSPICION, QUARANTINE);
        CrashNotices notices = new CrashNotices(
                suspects,
                base.transport(),
                base.time(),
                base.scheduler(),
                () -> otherEntries(base),
                upstreamId -> sideOf(base, upstreamId),
                onQuarantine);
        base.transport().register(Frame.BodyCase.OUTCOME, notices::handle);
        followConfiguration(base, suspects);
        return new CrashKnowledge(suspects, notices);
    }

    private static List<String> otherEntries(ProcessBase base) {
        return base.membership().vms(ProcessRole.ENTRY).stream()
                .filter(vm -> !vm.name().equals(base.identity().vmName()))
                .map(Vm::peerAddress)
                .toList();
    }

    private static Optional<String> sideOf(ProcessBase base, String upstreamId) {
        return base.membership().vms(ProcessRole.SIDE).stream()
                .filter(vm -> vm.upstreamId().equals(upstreamId))
                .map(Vm::peerAddress)
                .findFirst();
    }

    /** A quarantine that is gone from the configuration was ended by an operator. */
    private static void followConfiguration(ProcessBase base, CrashSuspects suspects) {
        AtomicReference<Set<String>> recorded = new AtomicReference<>(Set.of());
        base.configuration().onChange(view -> {
            Set<String> now = view.quarantines().stream()
                    .map(quarantine -> quarantine.getFingerprint())
                    .collect(Collectors.toUnmodifiableSet());
            view.quarantines().forEach(q -> suspects.onConfiguration(q.getFingerprint(), q.getEndsAtMillis()));
            recorded.getAndSet(now).stream()
                    .filter(fingerprint -> !now.contains(fingerprint))
                    .forEach(fingerprint -> suspects.onConfiguration(fingerprint, 0));
        });
    }
}
