package io.parsleycleat.core.request.serve;

/**
 * Limits retries to a share of the requests, so that retries cannot multiply an overload.
 *
 * <p>One an entry; guarded by its own lock.
 */
public final class RetryBudget {
    private static final double MAX_SAVED = 100;

    private final double retriesPerRequest;
    private double saved;

    /**
     * Creates a budget that grows by the given share of a retry with each request. It begins empty, so that a restart
     * of many processes grants no retries that were used before.
     */
    public RetryBudget(double retriesPerRequest) {
        this.retriesPerRequest = retriesPerRequest;
    }

    /** Tells that a request arrived. */
    public synchronized void onRequest() {
        saved = Math.min(MAX_SAVED, saved + retriesPerRequest);
    }

    /** Takes one retry out of the budget, if there is one. */
    public synchronized boolean tryRetry() {
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
