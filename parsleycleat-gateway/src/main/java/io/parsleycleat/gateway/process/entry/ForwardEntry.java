package io.parsleycleat.gateway.process.entry;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.parsleycleat.core.connection.body.BodyMemory;
import io.parsleycleat.core.connection.caller.CallerLimits;
import io.parsleycleat.core.connection.caller.CallerServer;
import io.parsleycleat.core.connection.peer.NettyPeerTransport;
import io.parsleycleat.core.connection.peer.TrafficCounter;
import io.parsleycleat.core.process.admin.AdminService;
import io.parsleycleat.core.process.admin.Readiness;
import io.parsleycleat.core.process.common.CallerDrain;
import io.parsleycleat.core.process.common.Drain;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.CrashAttribution;
import io.parsleycleat.gateway.connection.upstream.UpstreamConnectionPools;
import io.parsleycleat.gateway.process.members.EntryCount;
import io.parsleycleat.gateway.process.members.EntryMembers;
import io.parsleycleat.gateway.process.members.EntryMessenger;
import io.parsleycleat.gateway.process.members.GateClient;
import io.parsleycleat.gateway.process.members.LogRelay;
import io.parsleycleat.gateway.process.members.StoreAccess;
import io.parsleycleat.gateway.request.choose.EngineChooser;
import io.parsleycleat.gateway.request.choose.EngineView;
import io.parsleycleat.gateway.request.choose.PlainServiceChooser;
import io.parsleycleat.gateway.request.choose.UpstreamAvailability;
import io.parsleycleat.gateway.request.choose.UpstreamLimits;
import io.parsleycleat.gateway.request.choose.UpstreamLoads;
import io.parsleycleat.gateway.request.crash.CrashDetector;
import io.parsleycleat.gateway.request.forward.CallCodec;
import io.parsleycleat.gateway.request.forward.ForwardMetrics;
import io.parsleycleat.gateway.request.forward.ForwardingContext;
import io.parsleycleat.gateway.request.forward.RequestForwarder;
import io.parsleycleat.gateway.request.limits.AccountBudgets;
import io.parsleycleat.gateway.request.limits.BudgetHomes;
import io.parsleycleat.gateway.request.limits.RetryShare;
import io.parsleycleat.gateway.request.permits.PermitHomes;
import io.parsleycleat.gateway.request.permits.UpstreamPermits;
import io.parsleycleat.gateway.version.follow.FollowSettings;
import io.parsleycleat.gateway.version.follow.KeyedLog;
import io.parsleycleat.gateway.version.follow.KeyedLogListener;
import io.parsleycleat.gateway.version.follow.LogFollower;
import io.parsleycleat.gateway.version.routes.AdapterVersions;
import io.parsleycleat.gateway.version.routes.ConfigurationHolder;
import io.parsleycleat.gateway.version.routes.ConfigurationUpdater;
import io.parsleycleat.gateway.version.routes.ServiceSpec;
import io.parsleycleat.gateway.version.upstreams.DrainedDataCentres;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectory;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectoryUpdater;
import io.parsleycleat.wire.gate.EntryRecord;
import io.parsleycleat.wire.gate.GateMessage;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Runs an entry that forwards callers' requests directly to the upstreams.
 *
 * <p>Created once by a main class. Requests, connections and timers share one event loop, since the VMs have one core.
 */
public final class ForwardEntry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long before the withdrawal bound an entry stops accepting keys on the basis of an old configuration. */
    private static final Duration KEY_EXPIRY_MARGIN = Duration.ofMillis(800);

    private static final Duration MEMBERS_UPDATE_INTERVAL = Duration.ofMillis(100);
    private static final Duration FIRST_READ_POLL_INTERVAL = Duration.ofMillis(10);
    private static final Duration RECORD_RETRY_DELAY = Duration.ofMillis(700);
    private static final Duration PEER_KEEP_ALIVE_INTERVAL = Duration.ofSeconds(1);
    /** How long the last answers may take to leave at the end of the shutdown timeout. */
    private static final Duration CONNECTION_FLUSH_TIMEOUT = Duration.ofMillis(300);
    /** How long the stopping process waits for the last write of its record. */
    private static final Duration FINAL_WRITE_TIMEOUT = Duration.ofMillis(200);
    /** The load balancer checks readiness once a second and needs two refusals; requests arrive until then. */
    private static final Duration BALANCER_REMOVAL_DELAY = Duration.ofMillis(2_800);
    /** Part of the shutdown timeout that is reserved for closing connections and the last write of the record. */
    private static final Duration SHUTDOWN_MARGIN = Duration.ofMillis(500);

    /** The least number of connections to an upstream, however many entries share those that it accepts. */
    private static final int MIN_CONNECTIONS = 4;

    private static final FollowSettings OPERATORS_LOG_SETTINGS = FollowSettings.LOW_LATENCY;
    private static final FollowSettings UPSTREAMS_LOG_SETTINGS =
            FollowSettings.LOW_LATENCY.withReadPause(Duration.ofMillis(550)).withMaxWait(Duration.ofSeconds(2));
    private static final Duration SHORT_ENTRIES_READ_PAUSE = Duration.ofSeconds(1);
    private static final FollowSettings ENTRIES_LOG_SETTINGS =
            FollowSettings.LOW_LATENCY.withReadPause(Duration.ofMillis(1_500)).withMaxWait(Duration.ofSeconds(2));

    private final ForwardEntrySettings settings;
    private final StoreAccess store;
    private final EventLoop eventLoop;
    private final TimeSource time = TimeSource.SYSTEM;
    private final MetricRegistry metrics = new MetricRegistry();
    private final EventLoopDelay loopDelay = new EventLoopDelay(MEMBERS_UPDATE_INTERVAL, time, metrics);
    private final ProcessIdentity identity;
    private final NettyPeerTransport transport;
    private final ConfigurationHolder configuration = new ConfigurationHolder();
    private final AdapterVersions adapterVersions = new AdapterVersions();
    private final DrainedDataCentres drained = new DrainedDataCentres();
    private final UpstreamDirectory upstreamDirectory = new UpstreamDirectory();
    private final EntryMembers members;
    private final EntryCount entryCount = new EntryCount(this::knownEntryCount, time);
    private final LogRelay relay;
    private final BudgetHomes budgetHomes;
    private final AccountBudgets budgets;
    private final PermitHomes permitHomes;
    private final CrashDetector crashWatch;
    private final BodyMemory answerMemory = BodyMemory.ofHeap();
    private final EntryMessenger messenger;
    private final ConfigurationUpdater configurationUpdater;
    private final LogFollower operatorsFollower;
    private final LogFollower upstreamsFollower;
    private final LogFollower entriesFollower;
    private final RequestForwarder forwarder;
    private final CallerServer callerServer;
    private volatile boolean stopping;
    private volatile boolean refusing;
    private volatile boolean recordWritesEnded;
    private volatile @Nullable Readiness lastReadiness;
    private volatile boolean recordWriteFailing;

    private ForwardEntry(ForwardEntrySettings settings, StoreAccess store, CallCodec codec, EventLoopGroup loops) {
        this.settings = settings;
        this.store = store;
        this.eventLoop = loops.next();
        this.identity = settings.vm().newProcessIdentity(ProcessRole.ENTRY, time);
        this.transport = new NettyPeerTransport(
                identity, loops, () -> 0, (from, frame) -> {}, new TrafficCounter(metrics), PEER_KEEP_ALIVE_INTERVAL);
        this.crashWatch = new CrashDetector(
                new CrashAttribution(new SplittableRandom(identity.incarnation())::nextDouble),
                time,
                this::tellOtherEntries);
        this.members = new EntryMembers(identity.vmName(), time, crashWatch::onQuarantinedParts);
        this.budgetHomes = new BudgetHomes(identity.vmName(), settings.budgetSlack(), time, this::isActive);
        UpstreamLimits limits = new UpstreamLimits(time, new SplittableRandom(identity.incarnation())::nextDouble);
        EngineView view = new EngineView(time, limits);
        this.relay = LogRelay.create(transport, identity, members, time, eventLoop);
        this.permitHomes = new PermitHomes(identity.vmName(), time, this::isActive, eventLoop);
        this.messenger = new EntryMessenger(
                identity.vmName(),
                transport,
                transport,
                members,
                budgetHomes,
                permitHomes,
                limits,
                crashWatch,
                view,
                relay);
        this.budgets = new AccountBudgets(identity.vmName(), budgetHomes, messenger, time, eventLoop);
        this.configurationUpdater =
                new ConfigurationUpdater(store.operatorsDecoder(), configuration, adapterVersions, drained, time);
        this.operatorsFollower = createFollower(
                "operators' log",
                store.operatorsLog(),
                configurationUpdater,
                OPERATORS_LOG_SETTINGS,
                settings.changeBound());
        this.upstreamsFollower = createFollower(
                "upstreams' log",
                store.upstreamsLog(),
                new UpstreamDirectoryUpdater(store.upstreamDecoder(), upstreamDirectory),
                UPSTREAMS_LOG_SETTINGS,
                settings.drainBound());
        this.entriesFollower = createFollower(
                "entries' log", store.entriesLog(), members, entriesLogSettings(settings), EntryMembers.MAX_READ_AGE);
        this.forwarder = createForwarder(codec, view, limits);
        this.callerServer = new CallerServer(loops, this::callerLimits, forwarder);
    }

    // Life cycle

    /**
     * Starts an entry that listens on all its addresses. It is ready once it has read the configuration and the
     * upstreams.
     */
    public static ForwardEntry start(
            ForwardEntrySettings settings, StoreAccess store, CallCodec codec, EventLoopGroup loops) {
        ForwardEntry entry = new ForwardEntry(settings, store, codec, loops);
        entry.listen(loops);
        return entry;
    }

    private void listen(EventLoopGroup loops) {
        configuration.addListener(table -> budgets.setAccounts(table.accounts()));
        upstreamDirectory.addListener(this::onUpstreamChange);
        operatorsFollower.start();
        upstreamsFollower.start();
        entriesFollower.start();
        transport.listen(settings.vm().peerAddress());
        callerServer.listen(settings.callerAddress());
        new CallerServer(loops, () -> CallerLimits.DEFAULT, new ReadyService(settings.readyPath(), this::readiness))
                .listen(settings.readyAddress());
        new CallerServer(loops, () -> CallerLimits.DEFAULT, new AdminService(metrics, this::readiness))
                .listen(settings.metricsAddress());
        metrics.gauge("requests.open", () -> forwarder::openRequests);
        metrics.gauge("requests.body.bytes", () -> callerServer::bodyBytes);
        metrics.gauge("answers.held.bytes", () -> answerMemory::takenBytes);
        metrics.gauge("operators.log.era", () -> operatorsFollower::era);
        metrics.gauge("datacentres.drained", () -> drained::count);
        metrics.gauge("operators.records.refused", () -> configurationUpdater::refusedRecords);
        metrics.gauge("configuration.age.millis", () -> operatorsFollower.freshness()::ageMillis);
        eventLoop.scheduleAtFixedRate(
                () -> {
                    loopDelay.onRun();
                    updateMembers();
                },
                MEMBERS_UPDATE_INTERVAL.toMillis(),
                MEMBERS_UPDATE_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        eventLoop.execute(this::awaitFirstMembersRead);
        logger.atInfo().log("entry started, callers %s, peers %s", settings.callerAddress(), identity.peerAddress());
    }

    /**
     * Refuses readiness checks, answers the requests that have arrived, and stops. What has no answer shortly before
     * the shutdown timeout gets one then.
     */
    public void stop() {
        long endNanos = time.monotonicNanos()
                + settings.shutdownTimeout().minus(SHUTDOWN_MARGIN).toNanos();
        stopping = true;
        forwarder.beginStop(timeUntil(endNanos));
        callerServer.drain();
        logger.atInfo().log("entry stops with %d open requests", forwarder.openRequests());
        Drain.pause(min(BALANCER_REMOVAL_DELAY, timeUntil(endNanos)));
        refusing = true;
        boolean allAnswered = Drain.await(eventLoop, forwarder::openRequests, timeUntil(endNanos));
        if (!allAnswered && forwarder.openRequests() > 0) {
            forwarder.endOpenRequests();
        }
        CallerDrain.finish(
                callerServer,
                forwarder::openRequests,
                eventLoop,
                time,
                timeUntil(endNanos).plus(CONNECTION_FLUSH_TIMEOUT));
        renewRecordOnExit();
        logger.atInfo().log("entry stopped");
    }

    private Duration timeUntil(long endNanos) {
        return Duration.ofNanos(Math.max(0, endNanos - time.monotonicNanos()));
    }

    private static Duration min(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    /** Returns whether the entry can serve requests, and the reason if it cannot. */
    public Readiness readiness() {
        Readiness now = currentReadiness();
        if (!now.equals(lastReadiness)) {
            logger.atInfo().log("ready: %s %s", now.ready(), now.reason());
            lastReadiness = now;
        }
        return now;
    }

    private Readiness currentReadiness() {
        if (stopping) {
            return Readiness.notReady("the process is stopping");
        }
        if (configuration.current().isEmpty()) {
            return Readiness.notReady(
                    configurationUpdater.refusedRecords() > 0
                            ? "no usable configuration, operators' records are refused"
                            : "no configuration yet");
        }
        if (!upstreamsFollower.isFullyRead()) {
            return Readiness.notReady("no upstreams known yet");
        }
        if (!forwarder.canVerifyKeys()) {
            return Readiness.notReady("the configuration is too old to accept keys");
        }
        return Readiness.READY;
    }

    // Components

    /**
     * Creates the follower of a log, which reads through another entry of the data centre if the bound leaves time for
     * that, and through any other one if the store does not answer.
     *
     * @param bound how late a change may become known here
     */
    private LogFollower createFollower(
            String name, KeyedLog log, KeyedLogListener listener, FollowSettings directSettings, Duration bound) {
        Optional<FollowSettings> relayedSettings = LogRelay.relaySettings(directSettings, bound);
        LogFollower follower = new LogFollower(
                name,
                relay.relayedLog(name, log, relayedSettings.isPresent(), directSettings.timeout()),
                listener,
                relayedSettings.orElse(directSettings),
                eventLoop,
                time);
        relay.register(name, follower);
        return follower;
    }

    /**
     * Returns the settings for the log of entries. Where the other logs are relayed, few entries read this one from the
     * store, and may read it more often.
     */
    private static FollowSettings entriesLogSettings(ForwardEntrySettings settings) {
        return LogRelay.relaySettings(UPSTREAMS_LOG_SETTINGS, settings.drainBound())
                        .isPresent()
                ? ENTRIES_LOG_SETTINGS.withReadPause(SHORT_ENTRIES_READ_PAUSE)
                : ENTRIES_LOG_SETTINGS;
    }

    private RequestForwarder createForwarder(CallCodec codec, EngineView view, UpstreamLimits limits) {
        UpstreamLoads loads = new UpstreamLoads(time, upstreamDirectory);
        SplittableRandom random = new SplittableRandom(identity.incarnation());
        ForwardingContext parts = new ForwardingContext(
                codec,
                eventLoop,
                time,
                configuration,
                upstreamDirectory,
                adapterVersions,
                new UpstreamConnectionPools(eventLoop, time, upstreamDirectory, this::maxConnections),
                loads,
                new UpstreamAvailability(time, random::nextDouble, drained),
                limits,
                new UpstreamPermits(permitHomes, messenger, limits, time),
                new PlainServiceChooser(loads, identity.dataCentre(), random::nextDouble),
                new EngineChooser(view, loads, limits),
                view,
                new GateClient(transport, settings.sidePort()),
                new RetryShare(settings.retryBounds(), time, entryCount),
                crashWatch,
                answerMemory,
                new ForwardMetrics(metrics));
        RequestForwarder.StalenessLimits bounds = new RequestForwarder.StalenessLimits(
                settings.withdrawalBound().minus(KEY_EXPIRY_MARGIN), settings.changeBound());
        return new RequestForwarder(
                parts, operatorsFollower.freshness(), budgets, bounds, () -> refusing, random::nextDouble);
    }

    private CallerLimits callerLimits() {
        return configuration.current().map(t -> t.limits()).orElse(CallerLimits.DEFAULT);
    }

    /** Returns the number of entries, or 0 while the records of the others have not been read. */
    private int knownEntryCount() {
        return entriesFollower.isFullyRead() ? 1 + members.peerAddresses().size() : 0;
    }

    /**
     * Returns this entry's part of the connections that an upstream accepts from all entries together. Before the
     * others are known, they may have taken nearly all of them.
     */
    private int maxConnections(Upstream upstream) {
        int accepted = configuration
                .current()
                .flatMap(t -> t.service(upstream.service()))
                .map(ServiceSpec::maxConnections)
                .orElse(Integer.MAX_VALUE);
        int entries = entryCount.getAsInt();
        return entries == 0 ? MIN_CONNECTIONS : Math.max(MIN_CONNECTIONS, accepted / entries);
    }

    // Other entries

    /** Sends a message to all other entries, and records quarantines that are new so that a loss of all keeps them. */
    private void tellOtherEntries(GateMessage message) {
        messenger.broadcast(message);
        if (message.getParts().getQuarantinedCount() > 0 && !recordWritesEnded) {
            writeOwnRecord().whenComplete((nothing, failure) -> {
                if (failure != null) {
                    logger.atWarning().log(
                            "cannot record a quarantine, the next renewal will: %s", Failures.unwrap(failure));
                }
            });
        }
    }

    private void onUpstreamChange(@Nullable Upstream before, @Nullable Upstream after) {
        boolean restarted = before != null && after != null && !before.isSameStart(after);
        boolean gone = before != null && after == null && !before.leaving();
        if (before != null && (restarted || gone)) {
            crashWatch.onUpstreamDown(before);
        }
    }

    /**
     * Waits for the first read of the entries' records: budgets cannot be drawn before, and the record of this VM's
     * earlier process must be read before it is overwritten.
     */
    private void awaitFirstMembersRead() {
        if (entriesFollower.isFullyRead()) {
            renewOwnRecord();
            updateMembers();
        } else {
            eventLoop.schedule(this::awaitFirstMembersRead, FIRST_READ_POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void updateMembers() {
        if (entriesFollower.isFullyRead()) {
            members.updateReadAge(entriesFollower.freshness().age());
            Set<String> others = members.peerAddresses().keySet();
            budgets.setOtherEntries(others);
            permitHomes.setOtherEntries(others);
            budgets.returnUnspent();
        }
    }

    private boolean isActive() {
        return members.isActive(entriesFollower.freshness().age());
    }

    private void renewOwnRecord() {
        if (recordWritesEnded) {
            return;
        }
        long sentNanos = time.monotonicNanos();
        writeOwnRecord().whenComplete((nothing, failure) -> {
            if (failure == null) {
                members.onOwnRecordWritten(sentNanos);
            }
            logRecordWriteChange(failure);
            Duration delay = failure == null ? EntryMembers.RENEWAL_INTERVAL : RECORD_RETRY_DELAY;
            eventLoop.schedule(this::renewOwnRecord, delay.toMillis(), TimeUnit.MILLISECONDS);
        });
    }

    private CompletableFuture<Void> writeOwnRecord() {
        EntryRecord entry =
                members.ownRecord(identity.peerAddress(), identity.dataCentre(), crashWatch.quarantinedParts());
        return store.entryWriter().write(identity.vmName(), entry.toByteArray());
    }

    /**
     * Logs the first of several failed writes in a row and the first success after them; each renewal repeats the
     * write.
     */
    private void logRecordWriteChange(@Nullable Throwable failure) {
        if (failure != null && !recordWriteFailing) {
            logger.atWarning().log("cannot write own record, will retry: %s", Failures.unwrap(failure));
        } else if (failure == null && recordWriteFailing) {
            logger.atInfo().log("own record written again");
        }
        recordWriteFailing = failure != null;
    }

    /**
     * Renews the own record for the last time. After a planned stop this VM usually starts again before the record
     * expires, and then continues with its parts of the budgets at once.
     */
    private void renewRecordOnExit() {
        recordWritesEnded = true;
        writeOwnRecord()
                .orTimeout(FINAL_WRITE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .handle((nothing, failure) -> failure)
                .thenAccept(failure -> {
                    if (failure != null) {
                        logger.atWarning().log("cannot renew own record before exit: %s", Failures.unwrap(failure));
                    }
                })
                .join();
    }
}
