package io.parsleycleat.core.request.execute;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.CrashNotices;
import io.parsleycleat.core.request.outcome.CrashSuspects;
import java.util.Objects;

/**
 * What a side asks and tells about requests that may crash its engine.
 *
 * <p>Created once by the side; safe to share between threads.
 */
public record SuspectRules(CrashSuspects suspects, CrashNotices notices, TimeSource time) {
    public SuspectRules {
        Objects.requireNonNull(suspects, "suspects");
        Objects.requireNonNull(notices, "notices");
        Objects.requireNonNull(time, "time");
    }

    /** Returns whether a request is suspected of crashing upstreams. */
    boolean isSuspect(String fingerprint) {
        return suspects.standing(fingerprint, time.wallMillis()) == CrashSuspects.Standing.SUSPECT;
    }

    /** Tells that a request ran to its end. */
    void survived(String fingerprint, long prefixHash) {
        suspects.onPrefixSurvived(prefixHash, time.wallMillis());
        notices.survived(fingerprint);
    }
}
