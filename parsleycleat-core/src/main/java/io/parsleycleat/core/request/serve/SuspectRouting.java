package io.parsleycleat.core.request.serve;

import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.CrashNotices;
import io.parsleycleat.core.request.outcome.CrashSuspects;
import io.parsleycleat.core.request.routing.SelectionRequest;
import io.parsleycleat.core.version.configuration.ConfigurationSource;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.wire.configuration.Upstream;
import io.parsleycleat.wire.run.Start;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Sends requests that are suspected of crashing upstreams to one upstream only, and refuses those in quarantine.
 *
 * <p>Created once by the entry; safe to share between threads.
 */
public record SuspectRouting(
        CrashSuspects suspects,
        CrashNotices notices,
        Membership membership,
        ConfigurationSource configuration,
        TimeSource time) {
    public SuspectRouting {
        Objects.requireNonNull(suspects, "suspects");
        Objects.requireNonNull(notices, "notices");
        Objects.requireNonNull(membership, "membership");
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(time, "time");
    }

    /** Returns the refusal of a request in quarantine. */
    Optional<Refusal> refusal(Start start) {
        return suspects.refusal(start.getFingerprint(), start.getAdapter().getPrefixHash(), time.wallMillis());
    }

    /** Records that a request ran to its end. */
    void survived(Start start) {
        suspects.onPrefixSurvived(start.getAdapter().getPrefixHash(), time.wallMillis());
    }

    /** Returns whether a request is a suspect. */
    boolean isSuspect(String fingerprint) {
        return suspects.standing(fingerprint, time.wallMillis()) == CrashSuspects.Standing.SUSPECT;
    }

    /** Returns the selection of a suspect, which leaves only its trial upstream; others pass unchanged. */
    SelectionRequest restrict(SelectionRequest selection, String fingerprint) {
        if (!isSuspect(fingerprint)) {
            return selection;
        }
        List<String> candidates = candidates(selection);
        Optional<String> trial = suspects.trialUpstream(fingerprint, candidates);
        Set<String> others = candidates.stream()
                .filter(id -> !trial.equals(Optional.of(id)))
                .collect(Collectors.toUnmodifiableSet());
        return selection.withExcluded(others);
    }

    /** Tells the side of a trial upstream what is known of a suspect. */
    void forward(String fingerprint, Vm side) {
        if (isSuspect(fingerprint)) {
            notices.forward(fingerprint, side.peerAddress());
        }
    }

    private List<String> candidates(SelectionRequest selection) {
        ConfigurationView view = configuration.current();
        return membership.vms(ProcessRole.SIDE).stream()
                .filter(vm -> !vm.leaving())
                .map(Vm::upstreamId)
                .filter(id -> view.upstream(id)
                        .filter(upstream -> fits(upstream, selection))
                        .isPresent())
                .distinct()
                .toList();
    }

    private static boolean fits(Upstream upstream, SelectionRequest selection) {
        return selection.adapter() == null
                ? upstream.getService().equals(selection.service())
                : upstream.getBaseModel().equals(selection.baseModel());
    }
}
