package io.parsleycleat.standin.measure.limits;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.LogManager;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Compares ways to hold accounts to their rate over a simulated fleet and prints tables.
 *
 * <p>Run from the command line. The same seed gives the same figures.
 */
public final class LimitsComparison {
    private static final List<Integer> SIZES = List.of(3, 8, 20, 40);
    private static final Duration LIST_NOTICED = Duration.ofSeconds(5);

    @Option(name = "--seed", usage = "seed of load and network")
    private long seed = 7;

    @Option(name = "--seconds", usage = "simulated seconds of each run")
    private int seconds = 120;

    @Option(name = "--size", usage = "number of entries; all sizes when it is left out")
    private int size;

    @Option(name = "--escrow-only", usage = "leave out the other ways")
    private boolean escrowOnly;

    @Option(name = "--reservations", usage = "compare what is reserved for completions instead")
    private boolean reservations;

    private LimitsComparison() {}

    /** Prints the tables. */
    public static void main(String... args) throws CmdLineException {
        LogManager.getLogManager().getLogger("").setLevel(Level.OFF);
        LimitsComparison comparison = new LimitsComparison();
        new CmdLineParser(comparison).parseArgument(args);
        comparison.print(System.out);
    }

    private void print(PrintStream out) {
        if (reservations) {
            printReservations(out);
        } else {
            printWays(out);
        }
    }

    private void printReservations(PrintStream out) {
        out.println("| entries | reserved | wrongful % | worst account % | overshoot |");
        out.println("| --- | --- | --- | --- | --- |");
        SIZES.stream().filter(n -> size == 0 || n == size).forEach(n -> Arrays.stream(CompletionDemand.Rule.values())
                .forEach(rule -> {
                    LimitsTrial trial = new LimitsTrial(
                            seed,
                            n,
                            LimitsScenario.BALANCED,
                            fleet -> fleet::reserve,
                            random -> CompletionDemand.draw(random, rule));
                    LimitsTrial.Result r = trial.run(Duration.ofSeconds(seconds));
                    String name = rule.name().toLowerCase(Locale.ROOT).replace('_', ' ');
                    out.println(String.format(
                            Locale.ROOT,
                            "| %d | %s | %.3f | %.3f | %.1f |",
                            n,
                            name,
                            r.wrongful(),
                            r.worstWrongful(),
                            r.overshoot()));
                }));
    }

    private void printWays(PrintStream out) {
        out.println(
                "| entries | scenario | way | wrongful % | worst account % | overshoot | messages | mean ms | p99 ms"
                        + " | use of account 1 |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        SIZES.stream().filter(n -> size == 0 || n == size).forEach(n -> Arrays.stream(LimitsScenario.values())
                .forEach(scenario -> ways(n).forEach((name, way) -> {
                    LimitsTrial trial = new LimitsTrial(seed, n, scenario, way, LimitsTrial::exact);
                    out.println(row(n, scenario, name, trial.run(Duration.ofSeconds(seconds))));
                })));
    }

    private Map<String, Function<SimulatedFleet, LimitStrategy>> ways(int entries) {
        Function<SimulatedFleet, LimitStrategy> escrow = fleet -> fleet::reserve;
        if (escrowOnly) {
            return Map.of("escrow", escrow);
        }
        Map<String, Function<SimulatedFleet, LimitStrategy>> ways = new java.util.LinkedHashMap<>();
        ways.put("static shares", fleet -> BucketStrategies.staticShares(fleet, entries));
        ways.put("single home", fleet -> BucketStrategies.singleHome(fleet, LIST_NOTICED));
        ways.put("escrow", escrow);
        return ways;
    }

    private static String row(int entries, LimitsScenario scenario, String way, LimitsTrial.Result r) {
        return String.format(
                Locale.ROOT,
                "| %d | %s | %s | %.3f | %.3f | %.1f | %.2f | %.3f | %.2f | %.3f |",
                entries,
                scenario.label(),
                way,
                r.wrongful(),
                r.worstWrongful(),
                r.overshoot(),
                r.messagesPerRequest(),
                r.meanMillis(),
                r.p99Millis(),
                r.overloadedUse());
    }
}
