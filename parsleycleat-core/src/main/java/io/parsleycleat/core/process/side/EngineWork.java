package io.parsleycleat.core.process.side;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.run.RunStarter;
import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.connection.upstream.EngineState;
import io.parsleycleat.core.connection.upstream.HttpModelEngine;
import io.parsleycleat.core.connection.upstream.ModelEngine;
import io.parsleycleat.core.process.common.CrashKnowledge;
import io.parsleycleat.core.process.common.ProcessBase;
import io.parsleycleat.core.process.lease.LeaseSettings;
import io.parsleycleat.core.process.lease.UpstreamLease;
import io.parsleycleat.core.process.limits.LoadPermits;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.slots.EngineMonitor;
import io.parsleycleat.core.process.slots.EngineSlotTable;
import io.parsleycleat.core.request.execute.CrashWatch;
import io.parsleycleat.core.request.execute.EngineContext;
import io.parsleycleat.core.request.execute.RunExecutor;
import io.parsleycleat.core.request.execute.SideGate;
import io.parsleycleat.core.request.execute.SuspectRules;
import io.parsleycleat.core.request.queue.RunQueue;
import io.parsleycleat.core.request.routing.ProbeResponder;
import io.parsleycleat.core.request.routing.RecentPrefixes;
import io.parsleycleat.wire.escrow.SideStart;
import io.parsleycleat.wire.outcome.RunningRequest;
import io.parsleycleat.wire.run.Start;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The work of a side for its model engine.
 *
 * <p>Created once by {@link SideProcess}; safe to share between threads.
 */
final class EngineWork implements UpstreamWork {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int RENEWALS_PER_LEASE = 3;
    private static final Duration LEASE_MARGIN = Duration.ofSeconds(1);
    private static final Duration PIN_CHECK_INTERVAL = Duration.ofMillis(100);
    private static final Duration RETRY_ELSEWHERE = Duration.ofSeconds(1);

    private final ProcessBase base;
    private final SideSettings.UpstreamSettings upstream;
    private final CrashKnowledge knowledge;
    private final UpstreamLease lease;
    private final RecentPrefixes prefixes = new RecentPrefixes();
    private final EngineSlotTable slots;
    private final CrashWatch crashes;
    private final EngineMonitor monitor;
    private final RunStarter executor;

    EngineWork(
            ProcessBase base,
            SideSettings.UpstreamSettings upstream,
            RunQueue queue,
            CrashKnowledge knowledge,
            LoadPermits permits,
            SideGate gate) {
        this.base = base;
        this.upstream = upstream;
        this.knowledge = knowledge;
        this.lease = createLease(base, upstream);
        ModelEngine engine =
                new HttpModelEngine(base.http(), upstream.address(), Duration.ofMillis(upstream.runTimeoutMillis()));
        this.slots = EngineSlotTable.builder(engine, base.time())
                .withMetrics(base.metrics())
                .withLease(lease::fencingNumber, lease::isHeld)
                .withRetired(this::isRetired)
                .withGate(new RetryingLoadGate(permits, base.scheduler()))
                .build();
        this.crashes = new CrashWatch(engine, this::onCrash);
        this.monitor = new EngineMonitor(engine, this::onState);
        this.executor = RunExecutor.ofEngine(new EngineContext(
                upstream.id(),
                engine,
                slots,
                queue,
                gate.withBeforeRun(List.of(this::refuseLapsed, this::refuseSuspect)),
                crashes,
                new SuspectRules(knowledge.suspects(), knowledge.notices(), base.time()),
                prefixes,
                base.time(),
                base.metrics()));
    }

    private static UpstreamLease createLease(ProcessBase base, SideSettings.UpstreamSettings upstream) {
        Duration duration = Duration.ofMillis(upstream.leaseMillis());
        SideStart start = SideStart.newBuilder()
                .setUpstreamId(upstream.id())
                .setVmName(base.identity().vmName())
                .setIncarnation(base.identity().incarnation())
                .build();
        return new UpstreamLease(
                base.log(),
                base.time(),
                base.scheduler(),
                start,
                upstream.checksFencing(),
                new LeaseSettings(duration, duration.dividedBy(RENEWALS_PER_LEASE), LEASE_MARGIN));
    }

    // Operation

    @Override
    public RunStarter executor() {
        return executor;
    }

    @Override
    public ProbeResponder describe(ProbeResponder responder) {
        return responder
                .withSlots(slots::report, slots::waiting)
                .withUpstream(monitor::incarnation, this::isUsable)
                .withPrefixes(prefixes);
    }

    @Override
    public void start() {
        lease.acquire();
        base.scheduler()
                .scheduleWithFixedDelay(this::confirmByVmList, 0, LEASE_MARGIN.toMillis(), TimeUnit.MILLISECONDS);
        base.scheduler().scheduleWithFixedDelay(slots::expire, 0, PIN_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        monitor.start(base.scheduler(), Duration.ofMillis(upstream.reportIntervalMillis()));
    }

    @Override
    public void stop() {
        lease.close();
    }

    @Override
    public boolean isUsable() {
        return monitor.isReachable() && lease.isHeld();
    }

    // Checks right before a run

    private Optional<Refusal> refuseLapsed(Start start) {
        return lease.isHeld()
                ? Optional.empty()
                : Optional.of(Refusal.of(ResultCode.LEASE_LAPSED).withRetryAfter(RETRY_ELSEWHERE));
    }

    private Optional<Refusal> refuseSuspect(Start start) {
        long now = base.time().wallMillis();
        Optional<Refusal> quarantined = knowledge
                .suspects()
                .refusal(start.getFingerprint(), start.getAdapter().getPrefixHash(), now);
        boolean mayStart = quarantined.isEmpty()
                && knowledge.suspects().mayStart(start.getFingerprint(), crashes.runningFingerprints(), now);
        return quarantined.isPresent() || mayStart
                ? quarantined
                : Optional.of(Refusal.of(ResultCode.DEADLINE_UNREACHABLE, "another suspect is running")
                        .withRetryAfter(RETRY_ELSEWHERE));
    }

    // News

    private void confirmByVmList() {
        if (base.membership().isRead()
                && base.membership()
                        .vm(base.identity().vmName())
                        .filter(vm -> vm.upstreamId().equals(upstream.id()))
                        .isPresent()) {
            lease.onVmListed(base.membership().age());
        }
    }

    private boolean isRetired(AdapterVersion adapter) {
        return base.configuration().isReady()
                && base.configuration()
                        .current()
                        .adapter(adapter.adapterId())
                        .filter(a -> a.getVersionsList().contains(adapter.version()))
                        .isEmpty();
    }

    private void onState(EngineState state) {
        if (!state.incarnation().equals(monitor.incarnation())) {
            prefixes.clear();
        }
        crashes.onState(state);
        slots.observe(state);
    }

    private CompletableFuture<Void> onCrash(String incarnation, List<RunningRequest> requests) {
        base.metrics().counter("side.crashes").inc();
        logger.atWarning()
                .with(LogKeys.UPSTREAM, upstream.id())
                .log("the engine's incarnation %s crashed beside %d requests", incarnation, requests.size());
        return knowledge.notices().crashed(upstream.id(), incarnation, requests);
    }
}
