package io.parsleycleat.gateway.request.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.parsleycleat.core.process.result.ResultCode;

/**
 * Counters and latencies of forwarded requests.
 *
 * <p>Created once per entry; safe to share between threads.
 */
public final class ForwardMetrics {
    private final MetricRegistry registry;
    private final Counter requests;
    private final Counter sends;
    private final Counter repeats;
    private final Counter repeatsRefused;
    private final Counter limitedSends;
    private final Counter cuts;
    private final Counter unexpectedFailures;
    private final Histogram budgetMillis;
    private final Histogram headMillis;
    private final Histogram firstEventMillis;
    private final Histogram gateMillis;
    private final Histogram repeatWaitMillis;
    private final Histogram totalMillis;

    /** Creates the metrics in a registry. */
    public ForwardMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.requests = registry.counter("forward.requests");
        this.sends = registry.counter("forward.sends");
        this.repeats = registry.counter("forward.repeats");
        this.repeatsRefused = registry.counter("forward.repeats.refused");
        this.limitedSends = registry.counter("forward.sends.limited");
        this.cuts = registry.counter("forward.cuts");
        this.unexpectedFailures = registry.counter("forward.failures.unexpected");
        this.budgetMillis = registry.histogram("forward.budget.millis");
        this.headMillis = registry.histogram("forward.head.millis");
        this.firstEventMillis = registry.histogram("forward.first_event.millis");
        this.gateMillis = registry.histogram("forward.gate.millis");
        this.repeatWaitMillis = registry.histogram("forward.repeat.wait.millis");
        this.totalMillis = registry.histogram("forward.total.millis");
    }

    void onRequest() {
        requests.inc();
    }

    void onSend(boolean isRepeat, boolean toLimitedUpstream) {
        sends.inc();
        if (toLimitedUpstream) {
            limitedSends.inc();
        }
        if (isRepeat) {
            repeats.inc();
        }
    }

    /** Counts a repeat for which the retry budget had nothing left. */
    void onRepeatDecided(boolean taken) {
        if (!taken) {
            repeatsRefused.inc();
        }
    }

    /** Records the time from the decision to repeat a request to its send. */
    void onRepeatSent(long millis) {
        repeatWaitMillis.update(millis);
    }

    /** Counts an answer that this entry broke off. */
    void onCut() {
        cuts.inc();
    }

    void onUnexpectedFailure() {
        unexpectedFailures.inc();
    }

    void onBudgetDecided(long millis) {
        budgetMillis.update(millis);
    }

    void onStartGranted(long millis) {
        gateMillis.update(millis);
    }

    void onHead(long millis) {
        headMillis.update(millis);
    }

    void onFirstEvent(long millis) {
        firstEventMillis.update(millis);
    }

    void onEnd(ResultCode code, long millis) {
        registry.counter("forward.result." + code.number()).inc();
        totalMillis.update(millis);
    }
}
