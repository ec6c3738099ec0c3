package io.parsleycleat.standin.command;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.standin.StandIn;
import io.parsleycleat.standin.platform.WeightStoreOptions;
import io.parsleycleat.standin.platform.WeightStoreStandIn;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.kohsuke.args4j.Option;

/** The sub-command {@code weight-store}. Created by args4j for one call. */
public final class WeightStoreCommand extends StandInCommand {
    @Option(name = "--loads-per-second", metaVar = "N", usage = "loads allowed a second")
    private double loadsPerSecond = WeightStoreOptions.DEFAULT.loadsPerSecond();

    @Option(name = "--burst", metaVar = "N", usage = "loads that may start at once after a pause")
    private double burst = WeightStoreOptions.DEFAULT.burst();

    @Option(name = "--transit-millis", metaVar = "N", usage = "time of a load at full speed")
    private long transitMillis = WeightStoreOptions.DEFAULT.transitTime().toMillis();

    @Option(name = "--full-speed-transits", metaVar = "N", usage = "loads in transit that do not slow each other down")
    private int fullSpeedTransits = WeightStoreOptions.DEFAULT.fullSpeedTransits();

    @Override
    StandIn start(InetSocketAddress address) {
        WeightStoreOptions options =
                new WeightStoreOptions(loadsPerSecond, burst, Duration.ofMillis(transitMillis), fullSpeedTransits);
        return new WeightStoreStandIn(address, options, TimeSource.SYSTEM);
    }
}
