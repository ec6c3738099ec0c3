package io.parsleycleat.standin.command;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.standin.StandIn;
import io.parsleycleat.standin.platform.VmListStandIn;
import java.net.InetSocketAddress;
import org.kohsuke.args4j.Option;

/** The sub-command {@code vm-list}. Created by args4j for one call. */
public final class VmListCommand extends StandInCommand {
    @Option(name = "--lag-millis", metaVar = "N", usage = "time after which a change shows")
    private long lagMillis;

    @Override
    StandIn start(InetSocketAddress address) {
        return new VmListStandIn(address, lagMillis, TimeSource.SYSTEM);
    }
}
