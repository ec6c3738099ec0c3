package io.parsleycleat.gateway.version.routes;

import java.time.Duration;
import java.util.Objects;

/** A base model that a service's engines can load. */
public record ModelSpec(String name, double weightsMegabytes, double adapterMegabytes, Duration loadTime) {
    public ModelSpec {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(loadTime, "loadTime");
    }
}
