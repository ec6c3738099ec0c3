package io.parsleycleat.standin.command;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.standin.StandIn;
import io.parsleycleat.standin.platform.LogOptions;
import io.parsleycleat.standin.platform.LogStandIn;
import java.net.InetSocketAddress;
import org.kohsuke.args4j.Option;

/** The sub-command {@code log}. Created by args4j for one call. */
public final class LogCommand extends StandInCommand {
    @Option(name = "--appends-per-second", metaVar = "N", usage = "appends taken a second")
    private double appendsPerSecond = LogOptions.DEFAULT.appendsPerSecond();

    @Option(name = "--retention-records", metaVar = "N", usage = "records kept of each stream")
    private int retentionRecords = LogOptions.DEFAULT.retentionRecords();

    @Option(name = "--retention-millis", metaVar = "N", usage = "age up to which a record is kept")
    private long retentionMillis = LogOptions.DEFAULT.retentionMillis();

    @Option(name = "--max-record-bytes", metaVar = "N", usage = "largest record taken")
    private int maxRecordBytes = LogOptions.DEFAULT.maxRecordBytes();

    @Override
    StandIn start(InetSocketAddress address) {
        LogOptions options = new LogOptions(appendsPerSecond, retentionRecords, retentionMillis, maxRecordBytes);
        return new LogStandIn(address, options, TimeSource.SYSTEM);
    }
}
