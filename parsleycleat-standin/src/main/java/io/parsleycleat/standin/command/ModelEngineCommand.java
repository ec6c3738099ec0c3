package io.parsleycleat.standin.command;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.standin.StandIn;
import io.parsleycleat.standin.upstream.EngineOptions;
import io.parsleycleat.standin.upstream.EngineTiming;
import io.parsleycleat.standin.upstream.ModelEngineStandIn;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import org.kohsuke.args4j.Option;

/** The sub-command {@code model-engine}. Created by args4j for one call. */
public final class ModelEngineCommand extends StandInCommand {
    private static final long NANOS_PER_MICRO = 1_000;

    @Option(name = "--base-model", metaVar = "NAME", usage = "name of the base model")
    private String baseModel = EngineOptions.DEFAULT.baseModel();

    @Option(name = "--slots", metaVar = "N", usage = "adapters that fit at once")
    private int slots = EngineOptions.DEFAULT.slots();

    @Option(name = "--batch-size", metaVar = "N", usage = "runs that advance together")
    private int batchSize = EngineOptions.DEFAULT.batchSize();

    @Option(name = "--max-waiting", metaVar = "N", usage = "runs that wait for a place in the batch")
    private int maxWaiting = EngineOptions.DEFAULT.maxWaiting();

    @Option(name = "--prefix-cache-blocks", metaVar = "N", usage = "prompt blocks that the prefix cache holds")
    private int prefixCacheBlocks = EngineOptions.DEFAULT.prefixCacheBlocks();

    @Option(name = "--token-micros", metaVar = "N", usage = "time between tokens of a lone run")
    private long tokenMicros = EngineTiming.DEFAULT.tokenInterval().toNanos() / NANOS_PER_MICRO;

    @Option(name = "--prefill-micros", metaVar = "N", usage = "time of a prompt token that is not cached")
    private long prefillMicros = EngineTiming.DEFAULT.prefillPerToken().toNanos() / NANOS_PER_MICRO;

    @Option(name = "--fill-slowdown", metaVar = "X", usage = "share by which a full batch is slower")
    private double fillSlowdown = EngineTiming.DEFAULT.fillSlowdown();

    @Option(name = "--adapter-slowdown", metaVar = "X", usage = "share by which each further adapter slows a step")
    private double adapterSlowdown = EngineTiming.DEFAULT.adapterSlowdown();

    @Option(name = "--ignore-fencing", usage = "obey orders with an old fencing number")
    private boolean ignoreFencing;

    @Option(name = "--report-lag-millis", metaVar = "N", usage = "age that a load report may have")
    private long reportLagMillis;

    @Option(name = "--event-lag-millis", metaVar = "N", usage = "time after which a cache event shows, with gaps")
    private long eventLagMillis;

    @Option(name = "--crash-marker", metaVar = "TEXT", usage = "text in a request that crashes the engine")
    private String crashMarker = EngineOptions.DEFAULT.crashMarker();

    @Option(name = "--hard-crash", usage = "a crash ends the process")
    private boolean hardCrash;

    @Option(name = "--restart-millis", metaVar = "N", usage = "time for which a crashed engine is away")
    private long restartMillis = EngineOptions.DEFAULT.restartTime().toMillis();

    @Option(name = "--load-millis", metaVar = "N", usage = "time of a load where no weight store is given")
    private long loadMillis = EngineOptions.DEFAULT.loadTime().toMillis();

    @Option(name = "--weight-store", metaVar = "URL", usage = "base of the weight store")
    private String weightStore = "";

    @Override
    StandIn start(InetSocketAddress address) {
        EngineTiming timing = new EngineTiming(
                Duration.ofNanos(tokenMicros * NANOS_PER_MICRO),
                fillSlowdown,
                adapterSlowdown,
                Duration.ofNanos(prefillMicros * NANOS_PER_MICRO));
        EngineOptions options = new EngineOptions(
                baseModel,
                slots,
                batchSize,
                maxWaiting,
                prefixCacheBlocks,
                timing,
                !ignoreFencing,
                Duration.ofMillis(reportLagMillis),
                Duration.ofMillis(eventLagMillis),
                crashMarker,
                hardCrash,
                Duration.ofMillis(restartMillis),
                Duration.ofMillis(loadMillis),
                weightStore.isEmpty() ? null : URI.create(weightStore));
        return new ModelEngineStandIn(address, options, records(), TimeSource.SYSTEM);
    }
}
