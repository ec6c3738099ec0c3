package io.parsleycleat.gateway.version.routes;

import java.util.Objects;

/** A service and its share of a route's requests, relative to the weights of the other services. */
public record ServiceShare(String service, double weight) {
    public ServiceShare {
        Objects.requireNonNull(service, "service");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight must not be negative: " + weight);
        }
    }
}
