package io.parsleycleat.standin.fleet;

import java.util.Objects;

/** Where a VM stands. Immutable. */
public record Place(String dataCentre, String region) {
    public Place {
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(region, "region");
    }
}
