package io.parsleycleat.standin.load;

import io.parsleycleat.standin.load.Arrival.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * All requests of a run, drawn in advance from its seed: Poisson arrivals of each account, adapters by a Zipf
 * popularity that shifts, prompts and answers of exponential length. Immutable.
 */
record Workload(List<AccountPlan> accounts, List<Arrival> arrivals) {
    /** Mean number of tokens of a completion's prompt and answer together. */
    static final int MEAN_TOKENS = 200;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MEAN_OWN_PROMPT_TOKENS = 20;
    private static final int MEAN_ANSWER_TOKENS = 150;
    private static final int MIN_TOKENS = 8;
    private static final int MAX_TOKENS = 600;
    private static final int SHARED_PREFIX_REPEATS = 4;
    private static final int MIN_WORD = 36 * 36;
    private static final int MAX_WORD = 36 * 36 * 36;
    private static final double READ_SHARE = 0.10;
    private static final double ORDER_SHARE = 0.05;

    Workload {
        accounts = List.copyOf(accounts);
        arrivals = List.copyOf(arrivals);
    }

    /** Draws the requests of a run. */
    static Workload draw(LoadOptions options) {
        List<AccountPlan> accounts = AccountPlan.standard(options.adapters());
        List<Arrival> drawn = new ArrayList<>();
        SplittableRandom seeds = new SplittableRandom(options.seed());
        accounts.forEach(account -> drawn.addAll(drawAccount(options, account, seeds.split())));
        List<Arrival> sorted = drawn.stream()
                .sorted(Comparator.comparingLong(Arrival::atNanos))
                .toList();
        List<Arrival> numbered = IntStream.range(0, sorted.size())
                .mapToObj(i -> number(sorted.get(i), i))
                .toList();
        return new Workload(accounts, numbered);
    }

    /** Returns the tokens that all accounts together ask for in a second when each keeps to its rate. */
    static double offeredTokensPerSecond(LoadOptions options) {
        return options.requestsPerSecond() * (1 - READ_SHARE - ORDER_SHARE) * MEAN_TOKENS;
    }

    private static List<Arrival> drawAccount(LoadOptions options, AccountPlan account, SplittableRandom random) {
        ZipfSampler popularity = new ZipfSampler(account.adapters(), options.zipfExponent());
        double rate = options.requestsPerSecond() * account.trafficShare() * account.overload();
        long end = (long) (options.totalSeconds() * NANOS_PER_SECOND);
        List<Arrival> arrivals = new ArrayList<>();
        long at = gap(random, rate);
        while (at < end) {
            arrivals.add(drawOne(options, account, popularity, at, random));
            at += gap(random, rate);
        }
        return arrivals;
    }

    private static Arrival drawOne(
            LoadOptions options, AccountPlan account, ZipfSampler popularity, long at, SplittableRandom random) {
        double kind = random.nextDouble();
        int rank = popularity.next(random);
        int promptTokens = length(random, MEAN_OWN_PROMPT_TOKENS);
        int answerTokens = length(random, MEAN_ANSWER_TOKENS);
        if (!account.freeTier() && kind < READ_SHARE) {
            return new Arrival(0, at, Kind.READ, account, "", "", 0);
        }
        if (!account.freeTier() && kind < READ_SHARE + ORDER_SHARE) {
            return new Arrival(0, at, Kind.ORDER, account, "", "", 0);
        }
        long shifts = (long) (at / NANOS_PER_SECOND) / options.shiftSeconds();
        int index = (int) ((rank + shifts * options.shiftRanks()) % account.adapters());
        String adapter = account.adapterId(index);
        return new Arrival(
                0, at, Kind.COMPLETION, account, adapter, prompt(adapter, promptTokens, random), answerTokens);
    }

    /** Returns a prompt whose beginning all requests of an adapter share. */
    private static String prompt(String adapter, int tokens, SplittableRandom random) {
        String prefix = "You answer for %s. ".formatted(adapter).repeat(SHARED_PREFIX_REPEATS);
        return IntStream.range(0, tokens)
                .mapToObj(i -> Integer.toString(MIN_WORD + random.nextInt(MAX_WORD - MIN_WORD), Character.MAX_RADIX))
                .collect(Collectors.joining(" ", prefix, ""));
    }

    private static int length(SplittableRandom random, int mean) {
        double drawn = -Math.log(1 - random.nextDouble()) * mean;
        return Math.max(MIN_TOKENS, Math.min(MAX_TOKENS, (int) drawn));
    }

    private static long gap(SplittableRandom random, double perSecond) {
        return Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND));
    }

    private static Arrival number(Arrival a, int number) {
        return new Arrival(number, a.atNanos(), a.kind(), a.account(), a.adapter(), a.prompt(), a.maxTokens());
    }
}
