package io.parsleycleat.gateway.process.members;

import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.core.process.time.TimeSource;
import java.net.InetSocketAddress;
import java.util.Objects;

/** Identifies the VM that a process runs on and the address at which other processes reach it. Immutable. */
public record VmIdentity(String name, String dataCentre, String region, InetSocketAddress peerAddress) {
    private static final int INCARNATIONS_PER_MILLI = 1_000;

    public VmIdentity {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(peerAddress, "peers");
    }

    /** Returns the identity of a process that starts now; its incarnation grows with the time of the start. */
    public ProcessIdentity newProcessIdentity(ProcessRole role, TimeSource time) {
        long incarnation = time.wallMillis() * INCARNATIONS_PER_MILLI
                + Math.floorMod(time.monotonicNanos(), INCARNATIONS_PER_MILLI);
        return new ProcessIdentity(name, role, dataCentre, region, IpAddresses.format(peerAddress), incarnation);
    }
}
