package io.parsleycleat.standin.measure.footprint;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.standin.fleet.DaemonNode;
import io.parsleycleat.standin.fleet.Fleet;
import io.parsleycleat.standin.fleet.FleetException;
import io.parsleycleat.standin.fleet.OperatorClient;
import io.parsleycleat.standin.fleet.Place;
import io.parsleycleat.standin.fleet.StandInNode;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ItemKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Starts fleets of several sizes and measures processor time, bytes between processes and memory of each daemon: at
 * rest, for each configured adapter, and for each change; and how long a change takes until it is in force everywhere.
 *
 * <p>Run from the command line; used by one thread.
 */
public final class FleetFootprint {
    private static final Place PLACE = new Place("dc-1", "region-1");
    private static final Duration SETTLE = Duration.ofSeconds(10);
    private static final Duration POLL = Duration.ofMillis(20);
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(60);
    private static final long KIB = 1024;

    @Option(name = "--entries", usage = "numbers of entries, one for each size")
    private String entries = "2,4,8";

    @Option(name = "--sides", usage = "numbers of sides, one for each size")
    private String sides = "3,8,16";

    @Option(name = "--adapters", usage = "adapters that are configured at each size")
    private int adapters = 1000;

    @Option(name = "--changes", usage = "single changes that are measured at each size")
    private int changes = 20;

    @Option(name = "--idle-seconds", usage = "how long the fleet is observed at rest")
    private int idleSeconds = 30;

    /** What all daemons of one role take up, on average. */
    private record Usage(double cpuMillis, double peerBytes, double heapKib, double residentKib) {
        static Usage of(List<DaemonNode> nodes) {
            return new Usage(
                    average(nodes, n -> n.process().cpuTime().toMillis()),
                    average(nodes, n -> metric(n, "peer.bytes.sent") + metric(n, "peer.bytes.received")),
                    average(nodes, FleetFootprint::heapKib),
                    average(nodes, FleetFootprint::residentKib));
        }

        private static double average(List<DaemonNode> nodes, ToDoubleFunction<DaemonNode> value) {
            return nodes.stream().mapToDouble(value).average().orElse(0);
        }
    }

    /** The usage of both roles at one time. */
    private record Readings(Usage entry, Usage side) {
        static Readings of(List<DaemonNode> entryNodes, List<DaemonNode> sideNodes) {
            return new Readings(Usage.of(entryNodes), Usage.of(sideNodes));
        }
    }

    /** Runs the measurement and prints a table. */
    public static void main(String[] arguments) throws CmdLineException {
        FleetFootprint footprint = new FleetFootprint();
        new CmdLineParser(footprint).parseArgument(arguments);
        footprint.run();
    }

    private void run() {
        System.out.println("entries sides role  idle_cpu_% idle_peer_B/s heap_KiB_0 heap_KiB_n resident_KiB"
                + " cpu_ms/change peer_B/change in_force_ms_p50 in_force_ms_max");
        int[] entryCounts = numbers(entries);
        int[] sideCounts = numbers(sides);
        IntStream.range(0, entryCounts.length).forEach(i -> measure(entryCounts[i], sideCounts[i]));
    }

    private void measure(int entryCount, int sideCount) {
        try (Fleet fleet = Fleet.create()) {
            fleet.startPlatform();
            StandInNode engine = fleet.startEngine("engine");
            List<DaemonNode> entryNodes = IntStream.range(0, entryCount)
                    .mapToObj(i -> fleet.startEntry("entry-" + i, PLACE))
                    .toList();
            List<DaemonNode> sideNodes = IntStream.range(0, sideCount)
                    .mapToObj(i -> fleet.startEngineSide("side-" + i, PLACE, engine, node -> withId(node, i)))
                    .toList();
            List<DaemonNode> all =
                    Stream.concat(entryNodes.stream(), sideNodes.stream()).toList();
            all.forEach(n -> n.awaitReady(Fleet.START_TIMEOUT));
            pause(SETTLE);
            Readings empty = Readings.of(entryNodes, sideNodes);
            try (OperatorClient operator = fleet.operator(entryNodes.get(0))) {
                operator.applyAll(IntStream.range(0, adapters)
                        .mapToObj(i -> adapter("a-" + i))
                        .toList());
                awaitVersion(all, adapters);
                pause(SETTLE);
                Readings before = Readings.of(entryNodes, sideNodes);
                pause(Duration.ofSeconds(idleSeconds));
                Readings idle = Readings.of(entryNodes, sideNodes);
                List<Long> delays = changeOneByOne(operator, all);
                Readings after = Readings.of(entryNodes, sideNodes);
                String size = String.format("%7d %5d", entryCount, sideCount);
                print(size + " entry", empty.entry(), before.entry(), idle.entry(), after.entry(), delays);
                print(size + " side ", empty.side(), before.side(), idle.side(), after.side(), delays);
            }
        }
    }

    private List<Long> changeOneByOne(OperatorClient operator, List<DaemonNode> all) {
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < changes; i++) {
            long start = System.nanoTime();
            operator.apply(adapter("c-" + i));
            awaitVersion(all, adapters + i + 1);
            delays.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
        }
        return delays.stream().sorted().toList();
    }

    private void print(String label, Usage empty, Usage before, Usage idle, Usage after, List<Long> delays) {
        double seconds = idleSeconds;
        double idlePerSecond = (idle.cpuMillis() - before.cpuMillis()) / seconds;
        double bytesPerSecond = (idle.peerBytes() - before.peerBytes()) / seconds;
        System.out.printf(
                "%s %10.2f %13.0f %10.0f %10.0f %12.0f %13.2f %13.0f %15d %15d%n",
                label,
                idlePerSecond / 10,
                bytesPerSecond,
                empty.heapKib(),
                idle.heapKib(),
                idle.residentKib(),
                (after.cpuMillis() - idle.cpuMillis()) / changes,
                (after.peerBytes() - idle.peerBytes()) / changes,
                delays.get(delays.size() / 2),
                delays.get(delays.size() - 1));
    }

    // Fleet

    private static ObjectNode withId(ObjectNode settings, int index) {
        settings.withObject("/upstream").put("id", "engine-" + index);
        return settings;
    }

    private static Change adapter(String id) {
        return OperatorClient.creation(ItemKind.ITEM_KIND_ADAPTER, id)
                .setAdapter(Adapter.newBuilder()
                        .setId(id)
                        .setBaseModel("base-7b")
                        .addVersions("1")
                        .setCurrentVersion("1"))
                .build();
    }

    private static void awaitVersion(List<DaemonNode> nodes, long version) {
        long deadline = System.nanoTime() + IN_FORCE_TIMEOUT.toNanos();
        while (nodes.stream().anyMatch(n -> metric(n, "configuration.version") < version)) {
            if (System.nanoTime() > deadline) {
                throw new FleetException("version " + version + " is not in force everywhere");
            }
            pause(POLL);
        }
    }

    // Readings

    private static double metric(DaemonNode node, String name) {
        return node.metrics().path(name).asDouble();
    }

    /** Returns the heap in use after a collection. */
    private static double heapKib(DaemonNode node) {
        try {
            Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
            new ProcessBuilder(jcmd.toString(), Long.toString(node.process().pid()), "GC.run")
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new FleetException("jcmd cannot be run", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted", e);
        }
        return metric(node, "process.heap.bytes") / KIB;
    }

    private static double residentKib(DaemonNode node) {
        try (Stream<String> lines =
                Files.lines(Path.of("/proc", Long.toString(node.process().pid()), "status"))) {
            return lines.filter(l -> l.startsWith("VmRSS:"))
                    .mapToDouble(l -> Double.parseDouble(l.replaceAll("\\D+", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            throw new FleetException("the memory of " + node.process() + " cannot be read", e);
        }
    }

    private static int[] numbers(String text) {
        return Stream.of(text.split(",")).mapToInt(Integer::parseInt).toArray();
    }

    private static void pause(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted", e);
        }
    }
}
