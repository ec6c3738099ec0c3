package io.parsleycleat.gateway.process.side;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.parsleycleat.core.connection.caller.CallerLimits;
import io.parsleycleat.core.connection.caller.CallerServer;
import io.parsleycleat.core.connection.peer.NettyPeerTransport;
import io.parsleycleat.core.connection.peer.TrafficCounter;
import io.parsleycleat.core.process.admin.AdminService;
import io.parsleycleat.core.process.admin.Readiness;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.process.gate.EngineControl;
import io.parsleycleat.gateway.process.gate.EngineGate;
import io.parsleycleat.gateway.process.gate.GateServer;
import io.parsleycleat.gateway.process.gate.OrderLoop;
import io.parsleycleat.gateway.process.members.StoreAccess;
import io.parsleycleat.gateway.version.follow.FollowSettings;
import io.parsleycleat.gateway.version.follow.LogFollower;
import io.parsleycleat.gateway.version.routes.AdapterVersions;
import io.parsleycleat.gateway.version.routes.ConfigurationHolder;
import io.parsleycleat.gateway.version.routes.ConfigurationUpdater;
import io.parsleycleat.gateway.version.routes.RoutingTable;
import io.parsleycleat.gateway.version.routes.ServiceSpec;
import io.parsleycleat.gateway.version.upstreams.DrainedDataCentres;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The process that controls the model engine on its VM: it admits requests and is the only sender of orders.
 *
 * <p>Created once by the main class. Order loop, log follower and status timer share one event loop.
 */
public final class EngineSide {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration PEER_KEEP_ALIVE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration STATUS_INTERVAL = Duration.ofMillis(150);
    private static final FollowSettings OPERATORS_LOG_SETTINGS =
            FollowSettings.LOW_LATENCY.withMaxWait(Duration.ofSeconds(10)).withReadPause(Duration.ofMillis(200));

    private final EngineSideSettings settings;
    private final TimeSource time = TimeSource.SYSTEM;
    private final MetricRegistry metrics = new MetricRegistry();
    private final EngineGate gate;
    private final NettyPeerTransport transport;
    private final ConfigurationUpdater configurationUpdater;
    private final LogFollower logFollower;
    private final OrderLoop orderLoop;
    private final GateServer gateServer;

    private EngineSide(
            EngineSideSettings settings,
            StoreAccess store,
            EngineControl engine,
            EventLoopGroup loops,
            EventLoop loop) {
        this.settings = settings;
        AdapterVersions versions = new AdapterVersions();
        ConfigurationHolder configuration = new ConfigurationHolder();
        this.gate = new EngineGate(versions, time, settings.promptOrder());
        configuration.addListener(this::onConfiguration);
        this.transport = new NettyPeerTransport(
                settings.vm().newProcessIdentity(ProcessRole.SIDE, time),
                loops,
                () -> 0,
                (from, frame) -> {},
                new TrafficCounter(metrics),
                PEER_KEEP_ALIVE_INTERVAL);
        this.orderLoop =
                new OrderLoop(gate, engine, store.fenceSource(), () -> healthPath(configuration), loop, time, () -> {});
        this.gateServer = new GateServer(gate, transport, time, orderLoop::wake, metrics);
        // A side has no use for the drained data centres, but their records must not count as malformed.
        this.configurationUpdater = new ConfigurationUpdater(
                store.operatorsDecoder(), configuration, versions, new DrainedDataCentres(), time);
        this.logFollower = new LogFollower(
                "operators' log", store.operatorsLog(), configurationUpdater, OPERATORS_LOG_SETTINGS, loop, time);
    }

    /** Starts a side that accepts connections from entries. */
    public static EngineSide start(
            EngineSideSettings settings, StoreAccess store, EngineControl engine, EventLoopGroup loops) {
        EventLoop loop = loops.next();
        EngineSide side = new EngineSide(settings, store, engine, loops, loop);
        side.listen(loops, loop);
        return side;
    }

    private void listen(EventLoopGroup loops, EventLoop loop) {
        transport.listen(settings.vm().peerAddress());
        logFollower.start();
        orderLoop.start();
        new CallerServer(loops, () -> CallerLimits.DEFAULT, new AdminService(metrics, () -> Readiness.READY))
                .listen(settings.metricsAddress());
        metrics.gauge("operators.records.refused", () -> configurationUpdater::refusedRecords);
        metrics.gauge("gate.running", () -> () -> gate.status().getRunning());
        metrics.gauge("gate.waiting", () -> () -> gate.status().getWaiting());
        loop.scheduleAtFixedRate(
                gateServer::sendStatuses,
                STATUS_INTERVAL.toMillis(),
                STATUS_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        logger.atInfo().log(
                "side started for an engine of service %s, listening for peers on %s",
                settings.service(), settings.vm().peerAddress());
    }

    /** Stops immediately. Running requests continue on the engine; waiting ones are refused, to be sent elsewhere. */
    public void stop() {
        logger.atInfo().log("side is stopping");
        gate.stop();
        logFollower.stop();
        transport.close();
        logger.atInfo().log("side stopped");
    }

    private Optional<String> healthPath(ConfigurationHolder configuration) {
        return configuration
                .current()
                .flatMap(t -> t.service(settings.service()))
                .map(ServiceSpec::healthPath);
    }

    private void onConfiguration(RoutingTable table) {
        table.service(settings.service())
                .flatMap(ServiceSpec::engineSpec)
                .ifPresent(spec -> gate.setSpec(spec, table.maxEventPause(settings.service())));
    }
}
