package io.parsleycleat.gateway.version.routes;

import java.util.Objects;

/** The part of a route's requests that one service gets, relative to the other parts. */
public record ServiceShare(String service, double weight) {
    public ServiceShare {
        Objects.requireNonNull(service, "service");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight must not be negative: " + weight);
        }
    }
}
