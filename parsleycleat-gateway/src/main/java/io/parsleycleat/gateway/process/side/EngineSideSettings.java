package io.parsleycleat.gateway.process.side;

import io.parsleycleat.gateway.process.gate.PromptOrder;
import io.parsleycleat.gateway.process.members.VmIdentity;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Settings of a side process for a model engine. Immutable.
 *
 * @param vm identity and addresses of the VM on which the side runs
 * @param service name of the service to which the engine belongs
 * @param metricsAddress listen address for the metrics
 * @param promptOrder what decides which waiting start is next
 */
public record EngineSideSettings(
        VmIdentity vm, String service, InetSocketAddress metricsAddress, PromptOrder promptOrder) {
    public EngineSideSettings {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(metricsAddress, "metrics");
        Objects.requireNonNull(promptOrder, "promptOrder");
    }
}
