package io.parsleycleat.core.connection.platform;

import io.parsleycleat.core.process.identity.ProcessRole;
import java.util.Objects;

/** One row of the platform's VM list. The upstream id is empty for entries. */
public record Vm(
        String name,
        ProcessRole role,
        String peerAddress,
        String dataCentre,
        String region,
        String upstreamId,
        boolean leaving) {
    public Vm {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(upstreamId, "upstreamId");
    }
}
