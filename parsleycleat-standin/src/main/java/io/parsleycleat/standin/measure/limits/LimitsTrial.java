package io.parsleycleat.standin.measure.limits;

import io.parsleycleat.core.process.limits.EscrowSettings;
import io.parsleycleat.core.process.limits.Reservation;
import io.parsleycleat.core.process.membership.EpochSettings;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.wire.configuration.Account;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * One run of one way to hold limits under one scenario.
 *
 * <p>Created for each run and used by one thread.
 */
final class LimitsTrial {
    private static final double[] RATES = {4000, 2000, 1000, 500, 250};
    private static final double BURST_SECONDS = 2;
    private static final double MEAN_TOKENS = 150;
    private static final double LEAST_TOKENS = 20;
    private static final double MOST_TOKENS = 450;
    private static final Duration NOTICED = Duration.ofSeconds(3);
    private static final Duration SETUP = Duration.ofSeconds(10);
    private static final long MAX_LATENCY_MICROS = 10_000_000;

    /** How many tokens a request takes, how many are reserved for it, and for how long. */
    record Demand(double reserved, double used, Duration service) {}

    /**
     * What came of a run.
     *
     * @param wrongful wrongful refusals by requests, in percent
     * @param worstWrongful the same of the worst-served account
     */
    record Result(
            double wrongful,
            double worstWrongful,
            double overshoot,
            double messagesPerRequest,
            double meanMillis,
            double p99Millis,
            double overloadedUse) {}

    private final Random random;
    private final SimulatedFleet fleet;
    private final LimitsScenario scenario;
    private final LimitStrategy strategy;
    private final Function<Random, Demand> demands;
    private final List<Account> accounts = new ArrayList<>();
    private final List<AdmissionHistory> histories = new ArrayList<>();
    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private boolean measuring;
    private long requests;

    LimitsTrial(
            long seed,
            int size,
            LimitsScenario scenario,
            Function<SimulatedFleet, LimitStrategy> strategy,
            Function<Random, Demand> demands) {
        this.random = new Random(seed);
        this.scenario = scenario;
        this.demands = demands;
        this.fleet = new SimulatedFleet(seed, size > 3 ? 2 : 1, EscrowSettings.DEFAULT, EpochSettings.DEFAULT);
        this.strategy = strategy.apply(fleet);
        IntStream.range(0, size).forEach(fleet::start);
    }

    /** Returns requests that take what is reserved for them. */
    static Demand exact(Random random) {
        double tokens = tokens(random);
        return new Demand(tokens, tokens, Duration.ZERO);
    }

    static double tokens(Random random) {
        double drawn = -MEAN_TOKENS * Math.log(1 - random.nextDouble());
        return Math.min(MOST_TOKENS, Math.max(LEAST_TOKENS, drawn));
    }

    Result run(Duration duration) {
        fleet.time().run(SETUP);
        IntStream.range(0, RATES.length).forEach(this::addAccount);
        fleet.time().run(SETUP);
        IntStream.range(0, RATES.length).forEach(this::arrive);
        fleet.time().run(SETUP);
        measuring = true;
        long from = fleet.time().monotonicNanos();
        long messages = fleet.network().messages();
        if (scenario == LimitsScenario.LOG_OUT) {
            fleet.platform().setLogOut(true);
        }
        fleet.time().run(duration.dividedBy(2));
        if (scenario == LimitsScenario.ENTRY_LOST) {
            fleet.kill(0, NOTICED);
        }
        fleet.time().run(duration.dividedBy(2));
        return result(from, fleet.network().messages() - messages, duration);
    }

    private void addAccount(int number) {
        Account account = Account.newBuilder()
                .setId("account-" + number)
                .setTokensPerSecond(RATES[number])
                .setBurstTokens(RATES[number] * BURST_SECONDS)
                .build();
        accounts.add(account);
        histories.add(new AdmissionHistory(account.getTokensPerSecond(), account.getBurstTokens()));
        fleet.put(account);
    }

    private void arrive(int number) {
        double perSecond = RATES[number] * scenario.load(number) / meanUse();
        double seconds = -Math.log(1 - random.nextDouble()) / perSecond;
        fleet.time()
                .after(Duration.ofNanos((long) (seconds * Duration.ofSeconds(1).toNanos())), () -> {
                    request(number);
                    arrive(number);
                });
    }

    private void request(int number) {
        List<Integer> alive = List.copyOf(fleet.entries());
        int favourite = alive.get(number % alive.size());
        int entry = random.nextDouble() < scenario.skew() ? favourite : alive.get(random.nextInt(alive.size()));
        Demand demand = demands.apply(random);
        long asked = fleet.time().monotonicNanos();
        boolean counted = measuring;
        requests += counted ? 1 : 0;
        strategy.reserve(entry, accounts.get(number), demand.reserved(), result -> {
            if (counted) {
                latencyMicros.recordValue((fleet.time().monotonicNanos() - asked) / 1000);
            }
            note(number, demand, asked, result);
        });
    }

    private void note(int number, Demand demand, long asked, Either<Refusal, Reservation> result) {
        if (result.isLeft()) {
            histories.get(number).refused(asked, demand.used());
            return;
        }
        histories.get(number).granted(fleet.network().decidedNanos(), demand.used());
        fleet.time().after(demand.service(), () -> result.get().settle(demand.used()));
    }

    private Result result(long from, long messages, Duration duration) {
        List<AdmissionHistory.Summary> summaries =
                histories.stream().map(h -> h.summary(from)).toList();
        int wrongful =
                summaries.stream().mapToInt(AdmissionHistory.Summary::wrongful).sum();
        double worst = summaries.stream()
                .mapToDouble(s -> percent(s.wrongful(), s.granted() + s.refused()))
                .max()
                .orElse(0);
        double overshoot = summaries.stream()
                .mapToDouble(AdmissionHistory.Summary::overshoot)
                .max()
                .orElse(0);
        double use = summaries.get(1).grantedTokens() / (RATES[1] * duration.toSeconds());
        return new Result(
                percent(wrongful, (double) requests),
                worst,
                overshoot,
                (double) messages / requests,
                latencyMicros.getMean() / 1000,
                latencyMicros.getValueAtPercentile(99) / 1000.0,
                use);
    }

    private double meanUse() {
        Random sample = new Random(1);
        return IntStream.range(0, 2000)
                .mapToDouble(i -> demands.apply(sample).used())
                .average()
                .orElse(MEAN_TOKENS);
    }

    private static double percent(double part, double whole) {
        return whole == 0 ? 0 : 100 * part / whole;
    }
}
