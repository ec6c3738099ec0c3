package io.parsleycleat.standin.measure.routing;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * The requests of all accounts: Poisson arrivals, and for each account adapters of Zipf popularity that shifts.
 *
 * <p>Created for each run from a seed; used by one thread. The same seed gives the same requests whatever becomes of
 * them.
 */
final class Load {
    private static final double ZIPF_EXPONENT = 1.2;
    private static final double SHIFT_MILLIS = 20_000;
    private static final int HOT_RANKS = 100;
    private static final int PREFIXES = 3;
    private static final double MEAN_TOKENS = 200;
    private static final int MIN_TOKENS = 16;
    private static final int MAX_TOKENS = 800;
    private static final double MILLIS_PER_SECOND = 1000;

    private final VirtualTime time;
    private final Deployment deployment;
    private final Random random;
    private final Consumer<Job> sink;
    private final Map<Deployment.Tenant, List<Integer>> adapters = new LinkedHashMap<>();
    private final Map<Deployment.Tenant, double[]> cumulative = new LinkedHashMap<>();
    private long jobs;

    Load(VirtualTime time, Deployment deployment, long seed, Consumer<Job> sink) {
        this.time = time;
        this.deployment = deployment;
        this.random = new Random(seed);
        this.sink = sink;
        Deployment.TENANTS.forEach(this::addTenant);
    }

    void start() {
        Deployment.TENANTS.forEach(this::planArrival);
        time.every(SHIFT_MILLIS, this::shift);
    }

    private void addTenant(Deployment.Tenant tenant) {
        int count = (int) (deployment.adapters() * tenant.part());
        List<Integer> ranks = new ArrayList<>(IntStream.range(0, count).boxed().toList());
        Collections.shuffle(ranks, random);
        double[] sums = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += Math.pow(i + 1, -ZIPF_EXPONENT);
            sums[i] = sum;
        }
        adapters.put(tenant, ranks);
        cumulative.put(tenant, sums);
    }

    private void planArrival(Deployment.Tenant tenant) {
        double rate = deployment.requestsPerSecond() * tenant.part() * tenant.excess();
        double gap = -Math.log(1 - random.nextDouble()) / rate * MILLIS_PER_SECOND;
        time.after(gap, () -> {
            sink.accept(next(tenant));
            planArrival(tenant);
        });
    }

    private Job next(Deployment.Tenant tenant) {
        double[] sums = cumulative.getOrDefault(tenant, new double[] {1});
        double point = random.nextDouble() * sums[sums.length - 1];
        int found = Arrays.binarySearch(sums, point);
        int rank = Math.min(sums.length - 1, found >= 0 ? found : -found - 1);
        int number = adapters.getOrDefault(tenant, List.of(0)).get(rank);
        AdapterVersion adapter = new AdapterVersion(tenant.id() + "-" + number, "1");
        int tokens = (int) Math.max(MIN_TOKENS, Math.min(MAX_TOKENS, -Math.log(1 - random.nextDouble()) * MEAN_TOKENS));
        long prefix = adapter.hashCode() * 31L + random.nextInt(PREFIXES);
        return new Job("j" + jobs++, tenant, adapter, prefix, tokens, MAX_TOKENS, time.millis());
    }

    /** Lets one adapter of each account become popular and another fall idle. */
    private void shift() {
        adapters.values().forEach(ranks -> {
            int hot = random.nextInt(Math.min(HOT_RANKS, ranks.size()));
            Collections.swap(ranks, hot, random.nextInt(ranks.size()));
        });
    }
}
