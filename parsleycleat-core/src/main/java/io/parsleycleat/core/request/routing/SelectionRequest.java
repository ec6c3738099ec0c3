package io.parsleycleat.core.request.routing;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * What is known of a request when its upstream is chosen: either an adapter with its base model, or a service.
 *
 * @param affinityKey requests with the same key go to the same plain service where possible; empty for none
 * @param excludedUpstreams upstreams that already failed the request
 */
public record SelectionRequest(
        String accountId,
        boolean freeTier,
        @Nullable AdapterVersion adapter,
        String baseModel,
        String service,
        long prefixHash,
        String affinityKey,
        Set<String> excludedUpstreams,
        Duration deadline) {
    public SelectionRequest {
        Objects.requireNonNull(accountId, "accountId");
        excludedUpstreams = Set.copyOf(excludedUpstreams);
        if ((adapter == null) == service.isEmpty()) {
            throw new IllegalArgumentException("either an adapter or a service is needed");
        }
    }

    /** Returns a copy with another time within which the request must start. */
    public SelectionRequest withDeadline(Duration newDeadline) {
        return new SelectionRequest(
                accountId,
                freeTier,
                adapter,
                baseModel,
                service,
                prefixHash,
                affinityKey,
                excludedUpstreams,
                newDeadline);
    }

    /** Returns a copy that also passes over an upstream. */
    public SelectionRequest withExcluded(Set<String> newExcludedUpstreams) {
        return new SelectionRequest(
                accountId,
                freeTier,
                adapter,
                baseModel,
                service,
                prefixHash,
                affinityKey,
                newExcludedUpstreams,
                deadline);
    }
}
