package io.parsleycleat.standin.load;

import io.parsleycleat.standin.command.Command;
import io.parsleycleat.standin.http.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/** The sub-command {@code load}. Created by args4j for one call. */
public final class LoadCommand implements Command {
    private static final int EXIT_USAGE = 2;

    @Option(name = "--deployment", metaVar = "NAME", usage = "mekdes or schieferpfad")
    private String deployment = Deployment.MEKDES.name();

    @Option(name = "--seed", metaVar = "N", usage = "seed of all requests")
    private long seed = 1;

    @Option(name = "--entries", metaVar = "N", usage = "number of entries")
    private int entries = 2;

    @Option(name = "--adapters", metaVar = "N", usage = "number of adapters")
    private int adapters = 3_000;

    @Option(name = "--slots", metaVar = "N", usage = "adapters that fit into an engine")
    private int slots = 8;

    @Option(name = "--batch-size", metaVar = "N", usage = "runs that advance together in an engine")
    private int batchSize = 16;

    @Option(name = "--warm-up-seconds", metaVar = "N", usage = "time that is not measured")
    private int warmUpSeconds = 20;

    @Option(name = "--seconds", metaVar = "N", usage = "time that is measured")
    private int seconds = 60;

    @Option(name = "--rate-factor", metaVar = "X", usage = "factor on the deployment's requests a second")
    private double rateFactor = 1;

    @Option(name = "--zipf", metaVar = "X", usage = "skew of the adapters' popularity")
    private double zipfExponent = 1.5;

    @Option(name = "--shift-seconds", metaVar = "N", usage = "time after which the popularity shifts")
    private int shiftSeconds = 30;

    @Option(name = "--shift-ranks", metaVar = "N", usage = "ranks by which the popularity shifts")
    private int shiftRanks = 1;

    @Option(name = "--routing", metaVar = "POLICY", usage = "PROBING, RANDOM, LEAST_LOADED or RENDEZVOUS")
    private String routingPolicy = "PROBING";

    @Option(name = "--queue", metaVar = "POLICY", usage = "FAIR or FIFO")
    private String queuePolicy = "FAIR";

    @Option(name = "--report", metaVar = "FILE", usage = "prefix of the files that take the report")
    private String report = "load-report";

    @Override
    public int run() throws IOException {
        Deployment size = Deployment.ofName(deployment).orElse(null);
        if (size == null) {
            System.err.println("--deployment " + deployment + " is neither mekdes nor schieferpfad");
            return EXIT_USAGE;
        }
        LoadOptions options = new LoadOptions(
                size,
                seed,
                entries,
                adapters,
                slots,
                batchSize,
                warmUpSeconds,
                seconds,
                rateFactor,
                zipfExponent,
                shiftSeconds,
                shiftRanks,
                routingPolicy,
                queuePolicy);
        measure(options);
        return 0;
    }

    private void measure(LoadOptions options) throws IOException {
        Workload workload = Workload.draw(options);
        try (LoadFleet fleet = new LoadFleet(options);
                LoadDriver driver = new LoadDriver(fleet, options)) {
            long begin = System.nanoTime();
            fleet.start();
            System.out.printf("processes ready after %.1f s%n", secondsSince(begin));
            fleet.configure(workload.accounts());
            System.out.printf("configured after %.1f s%n", secondsSince(begin));
            CompletableFuture<FleetSnapshot> warm = new CompletableFuture<>();
            List<Outcome> outcomes = driver.run(
                    workload.arrivals(),
                    () -> CompletableFuture.runAsync(() -> warm.complete(FleetSnapshot.take(fleet))));
            FleetSnapshot counted = FleetSnapshot.take(fleet).since(warm.join());
            Histogram gaps = driver.gaps();
            Observations observations = Observations.read(fleet.engines(), fleet.services());
            RunReport figures = new RunAnalysis(options, outcomes, observations, driver.startMillis())
                    .report(workload.accounts(), counted, gaps, driver.directReads());
            write(figures, outcomes);
        }
    }

    private void write(RunReport figures, List<Outcome> outcomes) throws IOException {
        String json = Json.of(figures).toPrettyString();
        Files.writeString(Path.of(report + ".json"), json);
        Files.writeString(Path.of(report + ".html"), HtmlReport.write(figures, RunAnalysis.firstTokens(outcomes)));
        System.out.println(json);
    }

    private static double secondsSince(long nanos) {
        return (System.nanoTime() - nanos) / 1e9;
    }
}
