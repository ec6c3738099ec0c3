package io.parsleycleat.core.request.serve;

import io.parsleycleat.core.connection.run.RunClient;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.routing.UpstreamSelector;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;

/**
 * What every request of an entry needs to run.
 *
 * @param maxAnswerTime time until an answer that is still running is broken off
 */
public record RunContext(
        UpstreamSelector selector,
        RunClient runs,
        RetryBudget retries,
        SuspectRouting suspects,
        ScheduledExecutorService scheduler,
        TimeSource time,
        Duration maxAnswerTime) {
    public RunContext {
        Objects.requireNonNull(selector, "selector");
        Objects.requireNonNull(runs, "runs");
        Objects.requireNonNull(retries, "retries");
        Objects.requireNonNull(suspects, "suspects");
        Objects.requireNonNull(scheduler, "scheduler");
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(maxAnswerTime, "maxAnswerTime");
    }
}
