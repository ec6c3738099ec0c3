package io.parsleycleat.core.process.entry;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.caller.CallerServer;
import io.parsleycleat.core.connection.platform.WeightStoreLimits;
import io.parsleycleat.core.connection.run.RunClient;
import io.parsleycleat.core.process.admin.Readiness;
import io.parsleycleat.core.process.common.CallerDrain;
import io.parsleycleat.core.process.common.CrashKnowledge;
import io.parsleycleat.core.process.common.Drain;
import io.parsleycleat.core.process.common.ProcessBase;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.limits.EscrowLimiter;
import io.parsleycleat.core.process.limits.TokenLimiter;
import io.parsleycleat.core.process.operators.OperatorAuthentication;
import io.parsleycleat.core.process.operators.OperatorsServer;
import io.parsleycleat.core.process.operators.OperatorsService;
import io.parsleycleat.core.request.routing.ProbingSelector;
import io.parsleycleat.core.request.serve.EntryContext;
import io.parsleycleat.core.request.serve.FreeTierGate;
import io.parsleycleat.core.request.serve.RequestService;
import io.parsleycleat.core.request.serve.RetryBudget;
import io.parsleycleat.core.request.serve.RunContext;
import io.parsleycleat.core.request.serve.SuspectRouting;
import io.parsleycleat.core.request.trace.TraceStore;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Quarantine;
import io.parsleycleat.wire.outcome.QuarantineNotice;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * An entry: it serves callers and operators.
 *
 * <p>Created once by the daemon's main, or by a program that embeds the library; safe to share between threads.
 */
public final class EntryProcess {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration OPERATORS_GRACE = Duration.ofSeconds(2);
    private static final Duration LAST_BYTES_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration HAND_OVER_TIMEOUT = Duration.ofSeconds(3);
    private static final double RETRIES_PER_REQUEST = 0.2;

    private final EntrySettings settings;
    private final ProcessBase base;
    private final EscrowLimiter limiter;
    private final CrashKnowledge crashes;
    private final RequestService service;
    private final CallerServer callers;
    private final OperatorsServer operators;
    private volatile boolean stopping;
    /** Set once the budgets could be used, or the log is out, for which an entry does not leave the balancer. */
    private volatile boolean budgetsSeen;

    private EntryProcess(EntrySettings settings) {
        this.settings = settings;
        this.base = new ProcessBase(
                settings.vm(), ProcessRole.ENTRY, settings.listen().peers(), settings.platform(), settings.control());
        this.limiter = createLimiter();
        this.crashes = CrashKnowledge.create(base, this::recordQuarantine);
        this.service = createService(limiter);
        this.callers = new CallerServer(base.loops(), settings.callers(), service);
        this.operators = createOperators();
    }

    // Life cycle

    /** Starts an entry that listens on all its addresses. It is ready once it has a configuration. */
    public static EntryProcess start(EntrySettings settings) {
        EntryProcess process = new EntryProcess(settings);
        process.listen();
        return process;
    }

    private void listen() {
        base.start(settings.listen().peers());
        limiter.start(base.scheduler());
        compareWeightStoreLimits();
        base.startAdmin(settings.listen().admin(), this::readiness);
        operators.start(settings.listen().operators());
        callers.listen(settings.listen().callers());
        base.metrics().gauge("entry.requests.open", () -> service::openRequests);
        base.metrics().gauge("entry.connections.open", () -> callers::openConnections);
        base.metrics().gauge("configuration.version", () -> base.configuration()::version);
    }

    /** Returns whether the entry can serve; the platform's balancer asks for it. */
    public Readiness readiness() {
        if (stopping) {
            return Readiness.notReady("the process is stopping");
        }
        if (!base.configuration().isReady()) {
            return Readiness.notReady("no configuration yet");
        }
        if (!base.membership().isRead()) {
            return Readiness.notReady("no VM list yet");
        }
        if (limiter.isUsable() || !base.configuration().isLogReachable()) {
            budgetsSeen = true;
        }
        if (!budgetsSeen) {
            return Readiness.notReady("no home of the accounts' budgets yet");
        }
        return Readiness.READY;
    }

    /** Returns one line for the terminal. */
    public String describe() {
        return "listening callers " + settings.listen().callers() + " peers "
                + settings.listen().peers() + " operators " + settings.listen().operators() + " admin "
                + settings.listen().admin();
    }

    /** Leaves the balancer, finishes every open request, hands its budgets over and ends. */
    public void stop() {
        stopping = true;
        callers.drain();
        Drain.pause(settings.control().leaveDelay());
        callers.stopListening();
        service.stop();
        long endNanos =
                base.time().monotonicNanos() + settings.control().drainTimeout().toNanos();
        boolean whole = Drain.await(
                base.scheduler(), service::openRequests, settings.control().drainTimeout());
        if (!whole) {
            logger.atWarning().log("%d requests were ended by the stop", service.endOpenRequests());
        }
        Duration left = Duration.ofNanos(Math.max(0, endNanos - base.time().monotonicNanos()));
        CallerDrain.finish(
                callers, service::openRequests, base.scheduler(), base.time(), left.plus(LAST_BYTES_TIMEOUT));
        Drain.await(base.scheduler(), () -> limiter.isDrained() ? 0 : 1, HAND_OVER_TIMEOUT);
        stopOperators();
        base.close();
    }

    private void stopOperators() {
        try {
            operators.stop(OPERATORS_GRACE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Parts

    private EscrowLimiter createLimiter() {
        return EscrowLimiter.builder()
                .identity(base.identity())
                .peers(base.transport())
                .frames(base.transport())
                .configuration(base.configuration())
                .membership(base.membership())
                .log(base.log())
                .time(base.time())
                .metrics(base.metrics())
                .weightStore(settings.platform().weightStoreLimits())
                .build();
    }

    /** Warns when the settings differ from what the weight store says of itself. */
    private void compareWeightStoreLimits() {
        WeightStoreLimits expected = settings.platform().weightStoreLimits();
        base.weightStore().limits().whenComplete((limits, failure) -> {
            if (failure != null) {
                logger.atWarning().log("the weight store's limits cannot be read: %s", failure);
            } else if (limits.loadsPerSecond() != expected.loadsPerSecond()
                    || limits.fullSpeedTransits() != expected.fullSpeedTransits()) {
                logger.atWarning().log("the weight store allows %s, the settings say %s", limits, expected);
            }
        });
    }

    private RequestService createService(TokenLimiter tokens) {
        EntrySettings.Requests requests = settings.requests();
        RunClient runs = new RunClient(
                base.transport(),
                base.transport(),
                base.scheduler(),
                base.identity().incarnation());
        ProbingSelector selector = ProbingSelector.builder(
                        base.transport(), base.membership(), base.configuration(), base.time())
                .withSettings(requests.routing())
                .withRegion(base.identity().region())
                .withMetrics(base.metrics())
                .build();
        RunContext tools = new RunContext(
                selector,
                runs,
                new RetryBudget(RETRIES_PER_REQUEST),
                new SuspectRouting(
                        crashes.suspects(), crashes.notices(), base.membership(), base.configuration(), base.time()),
                base.scheduler(),
                base.time(),
                Duration.ofMillis(requests.maxAnswerMillis()));
        EntryContext context = new EntryContext(
                base.configuration(),
                base.keys(),
                tokens,
                tools,
                new FreeTierGate(requests.freeRequests()),
                new TraceStore(base.time()),
                base.metrics(),
                Duration.ofMillis(requests.startDeadlineMillis()),
                Duration.ofMillis(TimeUnit.SECONDS.toMillis(requests.idempotencyWindowSeconds())));
        return new RequestService(context, requests.maxTokens());
    }

    /** Several entries may record the same quarantine; the first change of the item wins, the others are harmless. */
    private void recordQuarantine(QuarantineNotice notice) {
        Quarantine quarantine = Quarantine.newBuilder()
                .setFingerprint(notice.getFingerprint())
                .setCrashes(notice.getCrashes())
                .setEndsAtMillis(notice.getEndsAtMillis())
                .build();
        Change change = Change.newBuilder()
                .setChangeId("quarantine-" + notice.getFingerprint() + "-" + notice.getEndsAtMillis())
                .setAuthor(base.identity().vmName())
                .setTimeMillis(base.time().wallMillis())
                .setKind(ItemKind.ITEM_KIND_QUARANTINE)
                .setItemId(notice.getFingerprint())
                .setQuarantine(quarantine)
                .build();
        base.configuration().append(change).exceptionally(failure -> {
            logger.atWarning().log("a quarantine is in force but not in the log: %s", failure);
            return AuditEntry.getDefaultInstance();
        });
    }

    private OperatorsServer createOperators() {
        OperatorsService operations = new OperatorsService(
                base.configuration(), base.membership(), base.time(), base.scheduler(), id -> service.explain(id)
                        .orElse(List.of()));
        return new OperatorsServer(
                operations, new OperatorAuthentication(base.configuration(), settings.firstOperatorKeyHash()));
    }
}
