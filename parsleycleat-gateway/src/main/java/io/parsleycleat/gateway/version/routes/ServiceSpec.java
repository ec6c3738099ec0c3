package io.parsleycleat.gateway.version.routes;

import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A service that routes lead to. Immutable.
 *
 * @param healthPath where upstreams answer with their id
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param engine set for services of model engines
 */
public record ServiceSpec(String name, String healthPath, int maxConnections, @Nullable EngineSpec engine) {
    public ServiceSpec {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(healthPath, "healthPath");
    }

    /** Returns what the engines can hold, for a service of model engines. */
    public Optional<EngineSpec> engineSpec() {
        return Optional.ofNullable(engine);
    }
}
