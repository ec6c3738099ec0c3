package io.parsleycleat.standin.load;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.standin.load.Arrival.Kind;
import io.parsleycleat.standin.load.Observations.EngineRun;
import io.parsleycleat.standin.load.RunReport.Batch;
import io.parsleycleat.standin.load.RunReport.Checks;
import io.parsleycleat.standin.load.RunReport.Daemons;
import io.parsleycleat.standin.load.RunReport.Latency;
import io.parsleycleat.standin.load.RunReport.Loads;
import io.parsleycleat.standin.load.RunReport.Totals;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * Works a run's figures out of what callers and upstreams saw.
 *
 * <p>Created once a run; used by one thread.
 */
final class RunAnalysis {
    private final LoadOptions options;
    private final List<Outcome> all;
    private final List<Outcome> measured;
    private final Observations observations;
    private final long startMillis;

    /**
     * Creates an analysis.
     *
     * @param startMillis when the run started, in milliseconds since 1970
     */
    RunAnalysis(LoadOptions options, List<Outcome> outcomes, Observations observations, long startMillis) {
        this.options = options;
        this.all = List.copyOf(outcomes);
        long warm = TimeUnit.SECONDS.toNanos(options.warmUpSeconds());
        this.measured = all.stream().filter(o -> o.arrival().atNanos() >= warm).toList();
        this.observations = observations;
        this.startMillis = startMillis;
    }

    /** Returns the figures. */
    RunReport report(List<AccountPlan> accounts, FleetSnapshot counted, Histogram gaps, Histogram directReads) {
        AccountAnalysis fairness = new AccountAnalysis(options, all, measured);
        return new RunReport(
                setup(),
                totals(),
                latency(gaps, directReads),
                loads(),
                batch(counted),
                fairness.fairness(accounts),
                fairness.figures(accounts),
                daemons(counted),
                checks());
    }

    private RunReport.Setup setup() {
        Deployment deployment = options.deployment();
        return new RunReport.Setup(
                deployment.name(),
                options.seed(),
                options.routingPolicy(),
                options.queuePolicy(),
                options.entries(),
                deployment.engines(),
                deployment.services(),
                options.adapters(),
                options.slots(),
                options.batchSize(),
                options.warmUpSeconds(),
                options.seconds(),
                options.requestsPerSecond(),
                options.zipfExponent(),
                options.shiftSeconds(),
                options.shiftRanks(),
                Runtime.getRuntime().availableProcessors(),
                Machine.memoryMegabytes(),
                Runtime.version().toString());
    }

    private Totals totals() {
        long generated = measured.stream().mapToLong(Outcome::generatedTokens).sum();
        return new Totals(
                measured.size(),
                (int) measured.stream().filter(ofKind(Kind.COMPLETION)).count(),
                (int) measured.stream().filter(Outcome::isDone).count(),
                byCode(o -> isNotRun(o)),
                byCode(o -> !o.isDone() && !isNotRun(o)),
                Math.round(10.0 * generated / options.seconds()) / 10.0);
    }

    private Latency latency(Histogram gaps, Histogram directReads) {
        List<Outcome> paying = completions(o -> !o.arrival().account().freeTier());
        List<Outcome> free = completions(o -> o.arrival().account().freeTier());
        return new Latency(
                Percentiles.ofNanos(firstTokens(paying)),
                Percentiles.ofNanos(firstTokens(free)),
                Percentiles.ofNanos(gaps),
                Percentiles.ofMillis(beforeEngine()),
                Percentiles.ofMillis(inEngine()),
                Percentiles.ofNanos(durations(Kind.READ)),
                Percentiles.ofNanos(directReads),
                Percentiles.ofNanos(durations(Kind.ORDER)),
                Percentiles.ofNanos(measured.stream()
                        .map(o -> o.sentNanos() - o.arrival().atNanos())
                        .toList()));
    }

    private Loads loads() {
        List<Outcome> done = completions(o -> true);
        List<Long> stalls = done.stream().flatMap(o -> stallMillis(o).stream()).toList();
        return new Loads(
                stalls.size(),
                done.isEmpty() ? 0 : share(stalls.size(), done.size()),
                Percentiles.ofMillis(stalls),
                share(observations.loads(), options.totalSeconds()),
                observations.loadFailures(),
                observations.runsRefused());
    }

    private Batch batch(FleetSnapshot counted) {
        Percentiles fill = Percentiles.ofCounts(counted.fillCounts());
        return new Batch(
                fill,
                share(fill.mean(), options.batchSize()),
                Percentiles.ofCounts(counted.adapterCounts()),
                share((double) counted.cachedPromptTokens(), (double) Math.max(1, counted.promptTokens())),
                counted.fillCounts());
    }

    private Daemons daemons(FleetSnapshot counted) {
        int requests = Math.max(1, measured.size());
        double entryMillis = counted.entryCpu().toMillis();
        double sideMillis = counted.sideCpu().toMillis();
        double seconds = options.seconds();
        int sides = options.deployment().engines() + options.deployment().services();
        return new Daemons(
                share(entryMillis, requests),
                share(sideMillis, requests),
                share(entryMillis / 1000 / seconds, options.entries()),
                share(sideMillis / 1000 / seconds, sides));
    }

    private Checks checks() {
        List<Outcome> orders = all.stream().filter(ofKind(Kind.ORDER)).toList();
        return new Checks(
                count(all, Outcome::wrong),
                count(all, o -> o.code() == Outcome.CODE_BROKEN),
                observations.violations(),
                observations.keysSeen(),
                count(orders, o -> observations.effects(o.arrival()) > 1),
                count(orders, o -> o.isDone() && observations.effects(o.arrival()) == 0),
                count(orders, o -> isNotRun(o) && observations.effects(o.arrival()) > 0));
    }

    // Times

    private List<Long> beforeEngine() {
        List<Long> times = new ArrayList<>();
        completions(o -> stallMillis(o).isEmpty())
                .forEach(o -> observations.run(o.arrival()).ifPresent(r -> times.add(r.atMillis() - sentMillis(o))));
        return times;
    }

    private List<Long> inEngine() {
        List<Long> times = new ArrayList<>();
        completions(o -> true).forEach(o -> observations
                .run(o.arrival())
                .ifPresent(r -> times.add(millis(o.firstTokenNanos()) - r.atMillis())));
        return times;
    }

    /** Returns how long a completion waited until its adapter was loaded, if it did. */
    private Optional<Long> stallMillis(Outcome outcome) {
        Optional<EngineRun> run = observations.run(outcome.arrival());
        long sent = sentMillis(outcome);
        return run.flatMap(r -> observations.loadedBetween(r, outcome.arrival().model(), sent))
                .map(loaded -> loaded - sent);
    }

    private long sentMillis(Outcome outcome) {
        return millis(outcome.sentNanos());
    }

    private long millis(long sinceStartNanos) {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(sinceStartNanos);
    }

    private List<Long> durations(Kind kind) {
        return measured.stream()
                .filter(ofKind(kind))
                .filter(Outcome::isDone)
                .map(o -> o.endNanos() - o.sentNanos())
                .toList();
    }

    static List<Long> firstTokens(List<Outcome> completions) {
        return completions.stream()
                .filter(o -> o.firstTokenNanos() > 0)
                .map(o -> o.firstTokenNanos() - o.sentNanos())
                .toList();
    }

    // Counts

    private List<Outcome> completions(Predicate<Outcome> chosen) {
        return measured.stream()
                .filter(ofKind(Kind.COMPLETION))
                .filter(o -> o.firstTokenNanos() > 0)
                .filter(chosen)
                .toList();
    }

    private Map<String, Integer> byCode(Predicate<Outcome> chosen) {
        return measured.stream()
                .filter(chosen)
                .collect(Collectors.toMap(o -> codeName(o.code()), o -> 1, Integer::sum, TreeMap::new));
    }

    static String codeName(int code) {
        return ResultCode.ofNumber(code).map(c -> code + " " + c.name()).orElse("broken");
    }

    static boolean isNotRun(Outcome outcome) {
        return ResultCode.ofNumber(outcome.code()).map(ResultCode::isNotRun).orElse(false);
    }

    private static Predicate<Outcome> ofKind(Kind kind) {
        return o -> o.arrival().kind() == kind;
    }

    private static int count(List<Outcome> outcomes, Predicate<Outcome> chosen) {
        return (int) outcomes.stream().filter(chosen).count();
    }

    /** Returns a quotient rounded to four digits. */
    static double share(double part, double whole) {
        return Math.round(part / whole * 10_000) / 10_000.0;
    }
}
