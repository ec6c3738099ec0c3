package io.parsleycleat.gateway.request.forward;

import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * What an upstream's answer says beside its body.
 *
 * @param notRun whether the upstream states that it did not run the request
 * @param wrongUpstream whether another upstream, or another adapter version, was meant
 * @param requestId the id of the request that is answered; null when the answer names none
 * @param load what the upstream said of its load; null when it said nothing
 * @param leaving whether the upstream says that it leaves
 * @param requestedPause for how long an upstream that turned the request away wants no other; null when it said nothing
 */
public record AnswerMetadata(
        boolean notRun,
        boolean wrongUpstream,
        @Nullable String requestId,
        @Nullable ReportedLoad load,
        boolean leaving,
        @Nullable Duration requestedPause) {
    /** Requests that run and wait at an upstream, and how many run at once. */
    public record ReportedLoad(int running, int waiting, int maxRunning) {}

    /** Returns whether the answer belongs to a request. */
    public boolean isAnswerTo(String id) {
        return Objects.equals(requestId, id) || (requestId == null && notRun);
    }
}
