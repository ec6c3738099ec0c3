package io.parsleycleat.gateway.version.routes;

import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A service to which routes lead. Immutable.
 *
 * @param healthPath the path at which upstreams answer with their id
 * @param maxConnections the number of connections that one upstream accepts from all callers together
 * @param engine set only for services of model engines
 */
public record ServiceSpec(String name, String healthPath, int maxConnections, @Nullable EngineSpec engine) {
    public ServiceSpec {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(healthPath, "healthPath");
    }

    /** Returns the capacity of the engines, for a service of model engines. */
    public Optional<EngineSpec> engineSpec() {
        return Optional.ofNullable(engine);
    }
}
