package io.parsleycleat.standin.measure.routing;

import io.parsleycleat.core.process.slots.SlotTableSettings;
import io.parsleycleat.core.request.routing.RoutingSettings;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Prints a table that compares routing and queue policies on both deployments.
 *
 * <p>The same seed gives the same figures on every machine, as time is virtual.
 */
public final class RoutingBenchmark {
    private static final int EXIT_BAD_USAGE = 2;

    @Option(name = "--seed", usage = "seed of arrivals, adapters and random choices")
    private long seed = 1;

    @Option(name = "--seconds", usage = "measured virtual time")
    private int seconds = 600;

    @Option(name = "--warm-up", usage = "virtual time before anything is measured, in seconds")
    private int warmUp = 120;

    @Option(name = "--details", usage = "also print a line for each account")
    private boolean details;

    @Option(name = "--chosen", usage = "run the chosen policies only")
    private boolean chosen;

    @Option(name = "--load-weight", usage = "cost of a load relative to its time")
    private double loadWeight = RoutingSettings.DEFAULT.loadWeight();

    @Option(name = "--spill-millis", usage = "time until the start above which further upstreams are probed")
    private long spillMillis = RoutingSettings.DEFAULT.spillMillis();

    @Option(name = "--running-millis", usage = "cost of each run that is running")
    private long runningMillis = RoutingSettings.DEFAULT.runningMillis();

    @Option(name = "--probes", usage = "upstreams probed at first")
    private int probes = RoutingSettings.DEFAULT.probes();

    @Option(name = "--max-probes", usage = "upstreams probed at most")
    private int maxProbes = RoutingSettings.DEFAULT.maxProbes();

    @Option(name = "--max-loads", usage = "loads of one side that may be in progress or wait for a permit")
    private int maxLoads = SlotTableSettings.DEFAULT.maxLoads();

    @Option(name = "--help", usage = "print this help", help = true)
    private boolean help;

    private RoutingBenchmark() {}

    /** Runs the benchmark. */
    public static void main(String[] arguments) {
        RoutingBenchmark benchmark = new RoutingBenchmark();
        CmdLineParser parser = new CmdLineParser(benchmark);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_BAD_USAGE);
        }
        if (benchmark.help) {
            parser.printUsage(System.out);
        } else {
            benchmark.run(System.out);
        }
    }

    private void run(PrintStream out) {
        List<Policies> policies = chosen ? Policies.compared().subList(0, 1) : Policies.compared();
        List.of(Deployment.MEKDES, Deployment.SCHIEFERPFAD).forEach(deployment -> {
            out.println(deployment.name() + ", seed " + seed + ", " + seconds + " s");
            out.println(Measures.header());
            policies.forEach(p -> out.println(measure(deployment, adjusted(p))));
            out.println();
        });
    }

    private Policies adjusted(Policies policies) {
        return new Policies(
                policies.routing()
                        .withCosts(loadWeight, spillMillis, runningMillis)
                        .withProbes(probes, maxProbes),
                policies.queue(),
                policies.slots().withMaxLoads(maxLoads));
    }

    private String measure(Deployment deployment, Policies policies) {
        VirtualTime time = new VirtualTime();
        Measures measures = new Measures(time, warmUp);
        FleetModel fleet = new FleetModel(time, deployment, policies, measures, seed);
        new Load(time, deployment, seed, fleet::submit).start();
        time.runUntil((double) warmUp + seconds);
        String row = measures.row(
                label(policies.routing().policy()), label(policies.queue().policy()), deployment.batchSize());
        return details ? row + System.lineSeparator() + measures.details() : row;
    }

    private static String label(Enum<?> policy) {
        return policy.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
