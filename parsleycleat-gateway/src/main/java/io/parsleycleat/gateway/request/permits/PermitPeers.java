package io.parsleycleat.gateway.request.permits;

import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Reaches the entries that grant permits, this one included.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface PermitPeers {
    /** Asks an entry for a permit; the future fails if it does not reply in time. */
    CompletableFuture<PermitReply> requestPermit(String entry, PermitQuery query);

    /**
     * Tells an entry, without confirmation, which limit an answer names.
     *
     * @param permit the permit with which the request was sent; 0 for none
     * @param named null if the answer names no limit
     */
    void reportLimit(String entry, UpstreamStart upstream, long permit, @Nullable RequestLimit named);
}
