package io.parsleycleat.gateway.process.side;

import io.parsleycleat.gateway.process.members.VmIdentity;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Settings of a side beside a model engine. Immutable.
 *
 * @param service the service that the engine belongs to
 * @param metricsAddress where counters are served
 */
public record EngineSideSettings(VmIdentity vm, String service, InetSocketAddress metricsAddress) {
    public EngineSideSettings {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(metricsAddress, "metrics");
    }
}
