package io.parsleycleat.gateway.request.forward;

import io.parsleycleat.gateway.request.limits.RequestLimit;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Metadata that an upstream sends in the head of an answer. Immutable.
 *
 * <p>Decoded by a {@link CallCodec} for each answer.
 *
 * @param notRun whether the upstream states that it did not run the request
 * @param wrongUpstream whether the upstream states that the request was meant for another upstream or adapter version
 * @param requestId the id of the request that is answered; null if the answer has none
 * @param load the load that the upstream reports; null if it reports none
 * @param leaving whether the upstream announces that it is shutting down
 * @param requestedPause how long an upstream that refused the request asks not to be sent another; null if it names no
 *     time
 * @param requestLimit the limit that the upstream names for the requests of all entries together; null if it names none
 */
public record AnswerMetadata(
        boolean notRun,
        boolean wrongUpstream,
        @Nullable String requestId,
        @Nullable ReportedLoad load,
        boolean leaving,
        @Nullable Duration requestedPause,
        @Nullable RequestLimit requestLimit) {
    /**
     * The load of an upstream.
     *
     * @param running requests that are running
     * @param waiting requests that are queued
     * @param maxRunning how many requests can run at the same time
     */
    public record ReportedLoad(int running, int waiting, int maxRunning) {}

    /**
     * Returns whether this is the answer to the request with the given id. An answer without a request id is accepted
     * only if it states that the request was not run, and only on a new connection: on a reused one it may be a late
     * copy of an earlier answer.
     */
    public boolean isAnswerTo(String id, boolean connectionReused) {
        return requestId == null ? notRun && !connectionReused : requestId.equals(id);
    }
}
