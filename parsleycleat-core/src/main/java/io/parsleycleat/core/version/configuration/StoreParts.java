package io.parsleycleat.core.version.configuration;

import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.version.configuration.keys.CutOffMonitor;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;

/**
 * What a {@link ConfigurationStore} works with.
 *
 * <p>Created once by the process; immutable, and its parts are safe to share between threads.
 */
public record StoreParts(
        ProcessIdentity identity,
        LogClient log,
        PeerClient peers,
        Membership membership,
        CutOffMonitor monitor,
        ScheduledExecutorService scheduler,
        TimeSource time) {
    public StoreParts {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(peers, "peers");
        Objects.requireNonNull(membership, "membership");
        Objects.requireNonNull(monitor, "monitor");
        Objects.requireNonNull(scheduler, "scheduler");
        Objects.requireNonNull(time, "time");
    }
}
