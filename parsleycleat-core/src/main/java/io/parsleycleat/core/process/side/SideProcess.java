package io.parsleycleat.core.process.side;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.connection.run.RunServer;
import io.parsleycleat.core.process.admin.Readiness;
import io.parsleycleat.core.process.common.CrashKnowledge;
import io.parsleycleat.core.process.common.Drain;
import io.parsleycleat.core.process.common.ProcessBase;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.limits.EscrowLoadPermits;
import io.parsleycleat.core.process.limits.EscrowSettings;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.execute.SideGate;
import io.parsleycleat.core.request.queue.FairRunQueue;
import io.parsleycleat.core.request.queue.QueueSettings;
import io.parsleycleat.core.request.routing.ProbeResponder;
import io.parsleycleat.wire.run.Start;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A side: it stands beside one upstream, and all work for the upstream passes it.
 *
 * <p>Created once by the daemon's main, or by a program that embeds the library; safe to share between threads.
 */
public final class SideProcess {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration QUEUE_CHECK_INTERVAL = Duration.ofMillis(50);
    private static final Duration LAST_ANSWERS_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_ELSEWHERE = Duration.ofSeconds(1);

    private final SideSettings settings;
    private final ProcessBase base;
    private final EscrowLoadPermits permits;
    private final FairRunQueue queue;
    private final UpstreamWork work;
    private final RunServer runs;
    private volatile boolean stopping;
    private volatile boolean refusing;

    private SideProcess(SideSettings settings) {
        this.settings = settings;
        this.base = new ProcessBase(
                settings.vm(), ProcessRole.SIDE, settings.listen().peers(), settings.platform(), settings.control());
        this.permits = new EscrowLoadPermits(
                base.identity(), base.transport(), base.membership(), base.time(), EscrowSettings.DEFAULT);
        SideSettings.UpstreamSettings upstream = settings.upstream();
        this.queue = new FairRunQueue(
                QueueSettings.DEFAULT
                        .withPolicy(upstream.queuePolicy())
                        .withBounds(upstream.maxRunning(), upstream.maxWaiting()),
                base.time(),
                base.metrics());
        this.work = upstream.kind() == SideSettings.Kind.MODEL_ENGINE
                ? new EngineWork(base, upstream, queue, CrashKnowledge.create(base, notice -> {}), permits, gate())
                : new ServiceWork(base, upstream, queue, gate());
        this.runs = new RunServer(base.transport(), base.scheduler(), work.executor());
    }

    // Life cycle

    /** Starts a side that listens on its addresses. It is ready once it has a configuration and its upstream. */
    public static SideProcess start(SideSettings settings) {
        SideProcess process = new SideProcess(settings);
        process.listen();
        return process;
    }

    private void listen() {
        work.describe(new ProbeResponder(
                                settings.upstream().id(), base.identity().incarnation(), queue)
                        .withLeaving(this::isLeaving))
                .register(base.transport());
        base.start(settings.listen().peers());
        queue.start(base.scheduler(), QUEUE_CHECK_INTERVAL);
        work.start();
        base.startAdmin(settings.listen().admin(), this::readiness);
        base.metrics().gauge("side.runs.open", () -> runs::openRuns);
        base.metrics().gauge("configuration.version", () -> base.configuration()::version);
    }

    /** Returns whether the side can run requests. */
    public Readiness readiness() {
        if (isLeaving()) {
            return Readiness.notReady("the side or its upstream is leaving");
        }
        if (!base.configuration().isReady()) {
            return Readiness.notReady("no configuration yet");
        }
        return work.isUsable() ? Readiness.READY : Readiness.notReady("the upstream cannot be used");
    }

    /** Returns one line for the terminal. */
    public String describe() {
        return "listening peers " + settings.listen().peers() + " admin "
                + settings.listen().admin() + " upstream " + settings.upstream().id();
    }

    /** Takes nothing new, finishes every run and ends. */
    public void stop() {
        stopping = true;
        Drain.pause(settings.control().leaveDelay());
        refusing = true;
        boolean whole =
                Drain.await(base.scheduler(), runs::openRuns, settings.control().drainTimeout());
        if (!whole) {
            queue.close();
            logger.atWarning().log("%d runs were ended by the stop", runs.endOpenRuns());
            Drain.await(base.scheduler(), runs::openRuns, LAST_ANSWERS_TIMEOUT);
        }
        work.stop();
        base.close();
    }

    // Checks of runs

    private SideGate gate() {
        return new SideGate(
                List.of(this::refuseWhenStopping, this::refuseStaleEpoch), List.of(this::refuseKey), List.of());
    }

    private Optional<Refusal> refuseWhenStopping(Start start) {
        if (refusing) {
            return Optional.of(Refusal.of(ResultCode.PROCESS_STOPPING).withRetryAfter(RETRY_ELSEWHERE));
        }
        if (!base.configuration().isReady()) {
            return Optional.of(Refusal.of(ResultCode.NOT_READY).withRetryAfter(RETRY_ELSEWHERE));
        }
        return Optional.empty();
    }

    /** Tokens of an epoch that has passed may be spent by another home already. */
    private Optional<Refusal> refuseStaleEpoch(Start start) {
        permits.epochs().observe(start.getEscrowEpoch());
        return permits.epochs().isStale(start.getEscrowEpoch())
                ? Optional.of(Refusal.of(ResultCode.EPOCH_STALE).withRetryAfter(RETRY_ELSEWHERE))
                : Optional.empty();
    }

    private Optional<Refusal> refuseKey(Start start) {
        return start.getKeyId().isEmpty() ? Optional.empty() : base.keys().refusal(start.getKeyId());
    }

    private boolean isLeaving() {
        return stopping
                || base.membership()
                        .vm(base.identity().vmName())
                        .map(Vm::leaving)
                        .orElse(false);
    }
}
