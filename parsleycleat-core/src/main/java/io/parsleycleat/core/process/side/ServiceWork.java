package io.parsleycleat.core.process.side;

import io.parsleycleat.core.connection.run.RunStarter;
import io.parsleycleat.core.connection.upstream.HttpPlainService;
import io.parsleycleat.core.connection.upstream.PlainService;
import io.parsleycleat.core.process.common.ProcessBase;
import io.parsleycleat.core.request.execute.RunExecutor;
import io.parsleycleat.core.request.execute.ServiceContext;
import io.parsleycleat.core.request.execute.SideGate;
import io.parsleycleat.core.request.outcome.LedgerSettings;
import io.parsleycleat.core.request.outcome.LogIntentLedger;
import io.parsleycleat.core.request.queue.RunQueue;
import io.parsleycleat.core.request.routing.ProbeResponder;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The work of a side for its plain service.
 *
 * <p>Created once by {@link SideProcess}; safe to share between threads.
 */
final class ServiceWork implements UpstreamWork {
    private static final int MAX_MISSED_CHECKS = 2;

    private final ProcessBase base;
    private final SideSettings.UpstreamSettings upstream;
    private final PlainService service;
    private final LogIntentLedger ledger;
    private final RunStarter executor;
    private volatile int missedChecks = MAX_MISSED_CHECKS;

    ServiceWork(ProcessBase base, SideSettings.UpstreamSettings upstream, RunQueue queue, SideGate gate) {
        this.base = base;
        this.upstream = upstream;
        this.service =
                new HttpPlainService(base.http(), upstream.address(), Duration.ofMillis(upstream.runTimeoutMillis()));
        this.ledger = new LogIntentLedger(
                base.log(),
                base.time(),
                base.scheduler(),
                base.identity().vmName() + "-" + base.identity().incarnation(),
                LedgerSettings.DEFAULTS);
        this.executor = RunExecutor.ofService(new ServiceContext(
                upstream.id(), upstream.service(), service, queue, gate, ledger, base.time(), base.metrics()));
    }

    @Override
    public RunStarter executor() {
        return executor;
    }

    @Override
    public ProbeResponder describe(ProbeResponder responder) {
        return responder.withUpstream(() -> "", this::isUsable);
    }

    @Override
    public void start() {
        ledger.warmUp(upstream.service());
        base.scheduler().scheduleWithFixedDelay(this::check, 0, upstream.reportIntervalMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {}

    @Override
    public boolean isUsable() {
        return missedChecks < MAX_MISSED_CHECKS;
    }

    private void check() {
        service.check()
                .whenComplete((ok, failure) ->
                        missedChecks = failure == null ? 0 : Math.min(MAX_MISSED_CHECKS, missedChecks + 1));
    }
}
