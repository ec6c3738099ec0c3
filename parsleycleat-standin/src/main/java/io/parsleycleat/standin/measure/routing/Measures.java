package io.parsleycleat.standin.measure.routing;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What one run measures after its warm-up. Created for each run; used by one thread. */
final class Measures {
    private static final int P95 = 95;
    private static final int P50 = 50;
    private static final double MILLIS_PER_SECOND = 1000;

    /** The figures of one account. */
    private static final class Tenant {
        private final Histogram firstToken = new Histogram(2);
        private final Map<ResultCode, Integer> codes = new EnumMap<>(ResultCode.class);
        private long asked;
        private long served;
        private long refused;
    }

    private final VirtualTime time;
    private final double warmUpMillis;
    private final Map<Deployment.Tenant, Tenant> tenants = new LinkedHashMap<>();
    private final Histogram firstToken = new Histogram(2);
    private final Histogram stalls = new Histogram(2);
    private long starts;
    private long loads;
    private long probes;
    private double busyMillis;
    private double runMillis;
    private double adapterMillis;
    private double tokens;

    Measures(VirtualTime time, double warmUpSeconds) {
        this.time = time;
        this.warmUpMillis = warmUpSeconds * MILLIS_PER_SECOND;
        Deployment.TENANTS.forEach(t -> tenants.put(t, new Tenant()));
    }

    private boolean counts(double millis) {
        return millis >= warmUpMillis;
    }

    private Tenant of(Job job) {
        return tenants.computeIfAbsent(job.tenant(), t -> new Tenant());
    }

    // Events

    void asked(Job job) {
        if (counts(job.arrivedMillis())) {
            of(job).asked++;
        }
    }

    void pinned(Job job, double stallMillis) {
        if (counts(job.arrivedMillis())) {
            starts++;
            if (stallMillis > 0) {
                stalls.recordValue((long) stallMillis);
            }
        }
    }

    void firstToken(Job job) {
        if (counts(job.arrivedMillis())) {
            long wait = (long) (time.millis() - job.arrivedMillis());
            of(job).firstToken.recordValue(wait);
            if (!job.tenant().free() && job.tenant().keepsToItsRate()) {
                firstToken.recordValue(wait);
            }
        }
    }

    void served(Job job) {
        if (counts(job.arrivedMillis())) {
            of(job).served++;
            tokens += job.tokens();
        }
    }

    void refused(Job job, Refusal refusal) {
        if (counts(job.arrivedMillis())) {
            of(job).refused++;
            of(job).codes.merge(refusal.code(), 1, Integer::sum);
        }
    }

    void batch(double millis, int running, long distinctAdapters) {
        if (counts(time.millis())) {
            busyMillis += millis;
            runMillis += millis * running;
            adapterMillis += millis * distinctAdapters;
        }
    }

    void load() {
        loads += counts(time.millis()) ? 1 : 0;
    }

    void probe() {
        probes += counts(time.millis()) ? 1 : 0;
    }

    // Results

    static String header() {
        return "| routing | queue | load stalls | stall p95 ms | loads/s | batch fill | runs an adapter in the batch"
                + " | tokens/s | first token p50 ms | p95 ms | worst account p95 ms | worst account served"
                + " | wrongful refusals | free served | probes a request |\n"
                + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
    }

    String row(String routing, String queue, int batchSize) {
        double seconds = (time.millis() - warmUpMillis) / MILLIS_PER_SECOND;
        long asked = tenants.values().stream().mapToLong(t -> t.asked).sum();
        double worstServed = paying().values().stream()
                .mapToDouble(Measures::servedPart)
                .min()
                .orElse(1);
        long worstWait = paying().values().stream()
                .mapToLong(t -> t.firstToken.getValueAtPercentile(P95))
                .max()
                .orElse(0);
        long refused = paying().values().stream().mapToLong(t -> t.refused).sum();
        Tenant free = tenants.entrySet().stream()
                .filter(e -> e.getKey().free())
                .map(Map.Entry::getValue)
                .findFirst()
                .orElseGet(Tenant::new);
        return String.format(
                Locale.ROOT,
                "| %s | %s | %.1f%% | %d | %.2f | %.2f | %.2f | %.0f | %d | %d | %d | %.1f%% | %d | %.1f%% | %.1f |",
                routing,
                queue,
                100.0 * stalls.getTotalCount() / Math.max(1, starts),
                stalls.getValueAtPercentile(P95),
                loads / seconds,
                runMillis / busyMillis / batchSize,
                runMillis / adapterMillis,
                tokens / seconds,
                firstToken.getValueAtPercentile(P50),
                firstToken.getValueAtPercentile(P95),
                worstWait,
                100 * worstServed,
                refused,
                100 * servedPart(free),
                (double) probes / Math.max(1, asked));
    }

    /** Returns one line for each account. */
    String details() {
        StringBuilder text = new StringBuilder();
        tenants.entrySet().stream()
                .sorted(Comparator.comparing(e -> e.getKey().id()))
                .forEach(e -> text.append(String.format(
                        Locale.ROOT,
                        "  %s: asked %d, served %d, refused %d, first token p50 %d p95 %d ms %s%n",
                        e.getKey().id(),
                        e.getValue().asked,
                        e.getValue().served,
                        e.getValue().refused,
                        e.getValue().firstToken.getValueAtPercentile(P50),
                        e.getValue().firstToken.getValueAtPercentile(P95),
                        e.getValue().codes)));
        return text.toString();
    }

    /** Returns the accounts that pay and keep to their rate. */
    private Map<Deployment.Tenant, Tenant> paying() {
        Map<Deployment.Tenant, Tenant> paying = new LinkedHashMap<>(tenants);
        paying.keySet().removeIf(t -> t.free() || !t.keepsToItsRate());
        return paying;
    }

    private static double servedPart(Tenant tenant) {
        return tenant.asked == 0 ? 1 : 1 - (double) tenant.refused / tenant.asked;
    }
}
