package io.parsleycleat.standin.measure.routing;

import io.parsleycleat.core.connection.upstream.AdapterVersion;

/**
 * One request of the load.
 *
 * @param tokens length of its answer
 * @param maxTokens upper bound that its caller states
 */
record Job(
        String id,
        Deployment.Tenant tenant,
        AdapterVersion adapter,
        long prefixHash,
        int tokens,
        int maxTokens,
        double arrivedMillis) {}
