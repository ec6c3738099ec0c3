package io.parsleycleat.core.process.side;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.run.RunStarter;
import io.parsleycleat.core.connection.upstream.EngineState;
import io.parsleycleat.core.connection.upstream.HttpModelEngine;
import io.parsleycleat.core.connection.upstream.ModelEngine;
import io.parsleycleat.core.process.common.ProcessBase;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.slots.EngineMonitor;
import io.parsleycleat.core.process.slots.EngineSlotTable;
import io.parsleycleat.core.request.execute.CrashWatch;
import io.parsleycleat.core.request.execute.EngineTools;
import io.parsleycleat.core.request.execute.RunExecutor;
import io.parsleycleat.core.request.execute.SideGate;
import io.parsleycleat.core.request.queue.RunQueue;
import io.parsleycleat.core.request.routing.ProbeResponder;
import java.time.Duration;
import java.util.List;

/**
 * The work of a side for its model engine.
 *
 * <p>Created once by {@link SideProcess}; safe to share between threads.
 */
final class EngineWork implements UpstreamWork {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ProcessBase base;
    private final SideSettings.UpstreamSettings upstream;
    private final EngineSlotTable slots;
    private final CrashWatch crashes;
    private final EngineMonitor monitor;
    private final RunStarter executor;

    EngineWork(ProcessBase base, SideSettings.UpstreamSettings upstream, RunQueue queue, SideGate gate) {
        this.base = base;
        this.upstream = upstream;
        ModelEngine engine =
                new HttpModelEngine(base.http(), upstream.address(), Duration.ofMillis(upstream.runTimeoutMillis()));
        this.slots = EngineSlotTable.builder(engine, base.time())
                .withMetrics(base.metrics())
                .build();
        this.crashes = new CrashWatch(engine, this::onCrash);
        this.monitor = new EngineMonitor(engine, this::onState);
        this.executor = RunExecutor.ofEngine(
                new EngineTools(upstream.id(), engine, slots, queue, gate, crashes, base.time(), base.metrics()));
    }

    @Override
    public RunStarter executor() {
        return executor;
    }

    @Override
    public ProbeResponder describe(ProbeResponder responder) {
        return responder.withSlots(slots::report, slots::waiting).withUpstream(monitor::incarnation, this::isUsable);
    }

    @Override
    public void start() {
        monitor.start(base.scheduler(), Duration.ofMillis(upstream.reportIntervalMillis()));
    }

    @Override
    public void stop() {}

    @Override
    public boolean isUsable() {
        return monitor.isReachable();
    }

    private void onState(EngineState state) {
        crashes.onState(state);
        slots.observe(state);
    }

    private void onCrash(String incarnation, List<String> fingerprints) {
        base.metrics().counter("side.crashes").inc();
        logger.atWarning()
                .with(LogKeys.UPSTREAM, upstream.id())
                .log("the engine's incarnation %s crashed beside %d requests", incarnation, fingerprints.size());
    }
}
