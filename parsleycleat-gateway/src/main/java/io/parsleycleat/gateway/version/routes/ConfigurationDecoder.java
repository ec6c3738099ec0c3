package io.parsleycleat.gateway.version.routes;

import java.util.Optional;

/**
 * Decodes the records that operators write. The result is empty for a record that is malformed or of another kind.
 * Implementations are stateless and safe to share.
 */
public interface ConfigurationDecoder {
    /** A version that operators named for an adapter. */
    record NamedVersion(AdapterId adapter, long version) {}

    /** Decodes a configuration version. */
    Optional<RoutingTable> table(String key, byte[] value);

    /** Decodes a named adapter version. */
    Optional<NamedVersion> version(String key, byte[] value);

    /**
     * Returns the data centre that a record drains for as long as it exists. Its key says all, so that its deletion and
     * a value that cannot be read are understood as well.
     */
    Optional<String> drainedDataCentre(String key);
}
