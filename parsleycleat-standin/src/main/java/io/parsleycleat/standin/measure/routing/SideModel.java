package io.parsleycleat.standin.measure.routing;

import com.codahale.metrics.MetricRegistry;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.slots.EngineSlotTable;
import io.parsleycleat.core.process.slots.LoadPriority;
import io.parsleycleat.core.process.slots.Pin;
import io.parsleycleat.core.process.slots.PinRequest;
import io.parsleycleat.core.request.queue.FairRunQueue;
import io.parsleycleat.core.request.queue.QueueSettings;
import io.parsleycleat.core.request.queue.QueuedRun;
import io.parsleycleat.core.request.routing.ProbeResponder;
import io.parsleycleat.core.request.routing.RecentPrefixes;
import io.parsleycleat.wire.routing.Probe;
import io.parsleycleat.wire.routing.ProbeAnswer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One side: the library's slot table and queue before a modelled engine. Created for each run; used by one thread. */
final class SideModel {
    private static final double REPORT_MILLIS = 1000;
    private static final double EXPIRY_MILLIS = 100;

    private final VirtualTime time;
    private final Deployment deployment;
    private final Measures measures;
    private final EngineModel engine;
    private final EngineSlotTable slots;
    private final FairRunQueue queue;
    private final RecentPrefixes prefixes = new RecentPrefixes();
    private final ProbeResponder responder;

    SideModel(
            String upstreamId,
            VirtualTime time,
            Deployment deployment,
            WeightStoreModel store,
            Policies policies,
            Measures measures) {
        this.time = time;
        this.deployment = deployment;
        this.measures = measures;
        this.engine = new EngineModel(time, deployment, store, measures);
        this.slots = EngineSlotTable.builder(engine, time)
                .withGate(store)
                .withSettings(policies.slots())
                .build();
        QueueSettings bounds = policies.queue().withBounds(deployment.batchSize(), 256);
        this.queue = new FairRunQueue(bounds, time, new MetricRegistry());
        this.responder = new ProbeResponder(upstreamId, 1, queue)
                .withSlots(slots::report, slots::waiting)
                .withPrefixes(prefixes);
        slots.observe(engine.state().join());
        time.every(REPORT_MILLIS, () -> slots.observe(engine.state().join()));
        time.every(EXPIRY_MILLIS, () -> {
            slots.expire();
            queue.expire();
        });
    }

    ProbeAnswer answer(Probe probe) {
        return responder.answer(probe);
    }

    /** Runs a request; one of the two actions is called in the end. */
    void run(Job job, Runnable served, Consumer<Refusal> refused) {
        LoadPriority priority = job.tenant().free() ? LoadPriority.FREE : LoadPriority.PAYING;
        double asked = time.millis();
        long deadline = TimeUnit.MILLISECONDS.toNanos((long) job.arrivedMillis() + deployment.deadlineMillis());
        PinRequest request = new PinRequest(
                job.adapter(), priority, job.tenant().id(), job.tenant().weight(), deadline);
        slots.pin(request).whenComplete((pin, failure) -> {
            if (failure != null) {
                refused.accept(Failures.toRefusal(failure, ResultCode.LOAD_FAILED));
                return;
            }
            measures.pinned(job, time.millis() - asked);
            queue(job, pin, deadline, served, refused);
        });
    }

    private void queue(Job job, Pin pin, long deadline, Runnable served, Consumer<Refusal> refused) {
        Consumer<Refusal> giveUp = refusal -> {
            pin.release();
            refused.accept(refusal);
        };
        queue.offer(new QueuedRun(
                        job.id(),
                        job.tenant().id(),
                        job.tenant().weight(),
                        job.tenant().free(),
                        job.maxTokens(),
                        deadline,
                        false,
                        () -> start(job, pin, served),
                        giveUp))
                .ifPresent(giveUp);
    }

    private void start(Job job, Pin pin, Runnable served) {
        if (!pin.isCurrent()) {
            throw new IllegalStateException("the adapter of a run that starts is gone");
        }
        boolean cached = prefixes.contains(job.adapter().adapterId(), job.prefixHash());
        prefixes.note(job.adapter().adapterId(), job.prefixHash());
        engine.start(job.id(), job.adapter(), job.tokens(), cached, () -> measures.firstToken(job), () -> {
            queue.finished(job.id(), job.tokens());
            pin.release();
            served.run();
        });
    }
}
