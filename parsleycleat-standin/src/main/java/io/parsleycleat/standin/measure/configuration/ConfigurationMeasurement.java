package io.parsleycleat.standin.measure.configuration;

import com.sun.management.OperatingSystemMXBean;
import io.parsleycleat.core.version.configuration.ConfigurationStore;
import io.parsleycleat.core.version.configuration.StoreSettings;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ItemKind;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Measures the time until a change is in force at every process, and what changes and idle time cost.
 *
 * <p>Created by {@link #main}; used by one thread.
 */
public final class ConfigurationMeasurement {
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double NANOS_PER_MILLI = 1e6;

    @Option(name = "--stores", usage = "number of processes that are imitated")
    private int stores = 20;

    @Option(name = "--data-centres", usage = "data centres that they stand in")
    private int dataCentres = 5;

    @Option(name = "--tailers", usage = "readers of the log in each data centre")
    private int tailers = 2;

    @Option(name = "--changes", usage = "changes measured, one after another")
    private int changes = 100;

    @Option(name = "--adapters", usage = "adapters put in place before")
    private int adapters = 200;

    @Option(name = "--idle-seconds", usage = "time measured without a change")
    private int idleSeconds = 20;

    private final PrintStream out;

    private ConfigurationMeasurement(PrintStream out) {
        this.out = out;
    }

    /** What was spent until some moment. Created by a measurement; immutable. */
    private record Spent(long nanos, long cpuNanos, long frames, long frameBytes, long logReads, long logBytes) {
        static Spent of(MeasuredFleet fleet) {
            OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
            return new Spent(
                    System.nanoTime(),
                    system.getProcessCpuTime(),
                    fleet.frames(),
                    fleet.frameBytes(),
                    fleet.logReads(),
                    fleet.logBytes());
        }

        Spent since(Spent earlier) {
            return new Spent(
                    nanos - earlier.nanos,
                    cpuNanos - earlier.cpuNanos,
                    frames - earlier.frames,
                    frameBytes - earlier.frameBytes,
                    logReads - earlier.logReads,
                    logBytes - earlier.logBytes);
        }
    }

    /** Measures and prints. */
    public static void main(String[] arguments) throws Exception {
        ConfigurationMeasurement measurement = new ConfigurationMeasurement(System.out);
        CmdLineParser parser = new CmdLineParser(measurement);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        }
        measurement.run();
        System.exit(0);
    }

    private void run() throws Exception {
        StoreSettings settings = StoreSettings.DEFAULTS.withTailersPerDataCentre(tailers);
        try (MeasuredFleet fleet = new MeasuredFleet(stores, dataCentres, settings)) {
            CompletableFuture<?>[] loaded = IntStream.range(0, adapters)
                    .mapToObj(i -> fleet.stores().get(0).append(adapter("load-" + i, i, 0)))
                    .toArray(CompletableFuture[]::new);
            CompletableFuture.allOf(loaded).get(1, TimeUnit.MINUTES);
            fleet.awaitAll(adapters);
            Spent beforeIdle = Spent.of(fleet);
            TimeUnit.SECONDS.sleep(idleSeconds);
            Spent idle = Spent.of(fleet).since(beforeIdle);
            printIdle(idle);
            Spent beforeChanges = Spent.of(fleet);
            Histogram inForce = measureChanges(fleet);
            printChanges(Spent.of(fleet).since(beforeChanges), idle, inForce);
        }
    }

    private Histogram measureChanges(MeasuredFleet fleet) throws InterruptedException, ExecutionException {
        Histogram inForce = new Histogram(DIGITS);
        for (int i = 0; i < changes; i++) {
            ConfigurationStore store = fleet.stores().get(i % stores);
            long start = System.nanoTime();
            long version =
                    store.append(adapter("change-" + i, adapters + i, 0)).get().getOffset() + 1;
            fleet.awaitAll(version);
            fleet.reachedNanos()
                    .forEach(reached -> inForce.recordValue(TimeUnit.NANOSECONDS.toMicros(reached - start)));
            TimeUnit.MILLISECONDS.sleep(100);
        }
        return inForce;
    }

    private void printIdle(Spent idle) {
        double seconds = idle.nanos() / 1e9;
        out.printf(
                "stores %d, data centres %d, tailers %d%n"
                        + "idle, a store and second: frames %.2f, frame bytes %.0f, log reads %.3f, log bytes %.0f,"
                        + " cpu %.3f ms%n",
                stores,
                dataCentres,
                tailers,
                idle.frames() / seconds / stores,
                idle.frameBytes() / seconds / stores,
                idle.logReads() / seconds / stores,
                idle.logBytes() / seconds / stores,
                idle.cpuNanos() / NANOS_PER_MILLI / seconds / stores);
    }

    private void printChanges(Spent spent, Spent idle, Histogram inForce) {
        double idleShare = (double) spent.nanos() / idle.nanos();
        out.printf(
                "a change, all stores together: frames %.1f, frame bytes %.0f, log reads %.1f, log bytes %.0f,"
                        + " cpu %.2f ms%n",
                (spent.frames() - idle.frames() * idleShare) / changes,
                (spent.frameBytes() - idle.frameBytes() * idleShare) / changes,
                (spent.logReads() - idle.logReads() * idleShare) / changes,
                (spent.logBytes() - idle.logBytes() * idleShare) / changes,
                (spent.cpuNanos() - idle.cpuNanos() * idleShare) / NANOS_PER_MILLI / changes);
        out.printf(
                "in force at a store, ms: median %.1f, 99%% %.1f, slowest %.1f%n",
                inForce.getValueAtPercentile(50) / MICROS_PER_MILLI,
                inForce.getValueAtPercentile(99) / MICROS_PER_MILLI,
                inForce.getMaxValue() / MICROS_PER_MILLI);
    }

    private static Change adapter(String changeId, int number, long expectedVersion) {
        String id = "adapter-" + number;
        return Change.newBuilder()
                .setChangeId(changeId)
                .setAuthor("measurement")
                .setTimeMillis(System.currentTimeMillis())
                .setKind(ItemKind.ITEM_KIND_ADAPTER)
                .setItemId(id)
                .setExpectedVersion(expectedVersion)
                .setAdapter(Adapter.newBuilder()
                        .setId(id)
                        .setBaseModel("base-7b")
                        .addVersions("1")
                        .setCurrentVersion("1"))
                .build();
    }
}
