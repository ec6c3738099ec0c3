package io.parsleycleat.standin.measure.routing;

import java.util.List;

/**
 * The sizes of one deployment and its load.
 *
 * @param requestsPerSecond what all accounts together ask for while each keeps to its rate
 * @param deadlineMillis time in which a request has to start
 */
record Deployment(
        String name,
        int engines,
        int entries,
        int slots,
        int batchSize,
        double loadsPerSecond,
        int adapters,
        double requestsPerSecond,
        double networkMillis,
        long deadlineMillis) {
    /** The accounts with their part of the load; the free tier is last. */
    static final List<Tenant> TENANTS = List.of(
            new Tenant("a1", 0.30, 1, 4, false),
            new Tenant("a2", 0.22, 1, 3, false),
            new Tenant("a3", 0.15, 4, 2, false),
            new Tenant("a4", 0.10, 1, 1, false),
            new Tenant("a5", 0.08, 1, 1, false),
            new Tenant("free", 0.15, 1, 1, true));

    static final Deployment MEKDES = new Deployment("Mekdes", 8, 4, 16, 8, 3, 3000, 7, 1, 60_000);
    static final Deployment SCHIEFERPFAD = new Deployment("Schieferpfad", 6, 3, 16, 8, 2, 3000, 4.6, 0.5, 20_000);

    /**
     * One account.
     *
     * @param part its part of the load
     * @param excess how many times its rate it sends
     * @param weight its part of contended upstreams, in proportion to its rate
     */
    record Tenant(String id, double part, double excess, int weight, boolean free) {
        boolean keepsToItsRate() {
            return excess <= 1;
        }
    }
}
