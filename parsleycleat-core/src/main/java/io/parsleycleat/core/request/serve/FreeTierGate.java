package io.parsleycleat.core.request.serve;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits how many requests of the free tier an entry serves at once, so that enough is left for paying callers.
 *
 * <p>One an entry; safe to share between threads.
 */
public final class FreeTierGate {
    private static final Duration RETRY = Duration.ofSeconds(1);

    private final int maxRequests;
    private final AtomicInteger open = new AtomicInteger();

    /** Creates a gate for so many requests at once. */
    public FreeTierGate(int maxRequests) {
        this.maxRequests = maxRequests;
    }

    /** Lets a request in, or says when to come back. */
    Optional<Refusal> enter() {
        if (open.incrementAndGet() > maxRequests) {
            open.decrementAndGet();
            return Optional.of(
                    Refusal.of(ResultCode.QUEUE_FULL, "the free tier is busy").withRetryAfter(RETRY));
        }
        return Optional.empty();
    }

    /** Tells that a request that was let in has ended. */
    void leave() {
        open.decrementAndGet();
    }
}
