package io.parsleycleat.core.request.routing;

/** How an entry chooses the upstream of a completion. */
public enum RoutingPolicy {
    /** Probes the first candidates of the adapter's rendezvous order and takes the least costly. The default. */
    PROBING,
    /** Any upstream of the base model. For comparison. */
    RANDOM,
    /** The upstream of the base model with the least wait, whatever it holds. For comparison. */
    LEAST_LOADED,
    /** Always the first candidate of the adapter's rendezvous order that can be reached. For comparison. */
    RENDEZVOUS
}
