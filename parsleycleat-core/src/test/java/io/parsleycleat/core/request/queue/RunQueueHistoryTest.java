package io.parsleycleat.core.request.queue;

import com.codahale.metrics.MetricRegistry;
import io.parsleycleat.core.request.routing.MovableTime;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Param;
import org.jetbrains.kotlinx.lincheck.paramgen.IntGen;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.testng.annotations.Test;

/** Checks that concurrent use of a queue has the results of some order of the calls. */
@Param(name = "run", gen = IntGen.class, conf = "1:3")
public class RunQueueHistoryTest {
    private final AtomicReference<FairRunQueue> queue = new AtomicReference<>(
            new FairRunQueue(QueueSettings.DEFAULT.withBounds(1, 2), new MovableTime(), new MetricRegistry()));
    private final Set<Integer> started = ConcurrentHashMap.newKeySet();
    private final AtomicInteger startedTwice = new AtomicInteger();

    @Operation
    public boolean offer(@Param(name = "run") int run) {
        QueuedRun queued = new QueuedRun(
                String.valueOf(run),
                "account" + run,
                1,
                false,
                10,
                Long.MAX_VALUE,
                false,
                () -> {
                    if (!started.add(run)) {
                        startedTwice.incrementAndGet();
                    }
                },
                refusal -> {});
        return queue.get().offer(queued).isEmpty();
    }

    @Operation
    public boolean cancel(@Param(name = "run") int run) {
        return queue.get().cancel(String.valueOf(run));
    }

    @Operation
    public int running() {
        return queue.get().running();
    }

    @Operation
    public int waiting() {
        return queue.get().waiting();
    }

    @Test
    public void everyHistoryHasAnOrder() {
        LinChecker.check(
                RunQueueHistoryTest.class,
                new StressOptions()
                        .iterations(20)
                        .invocationsPerIteration(500)
                        .threads(3)
                        .actorsPerThread(3)
                        .actorsBefore(1)
                        .actorsAfter(1));
    }
}
