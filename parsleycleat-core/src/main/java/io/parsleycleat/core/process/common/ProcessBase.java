package io.parsleycleat.core.process.common;

import com.codahale.metrics.MetricRegistry;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.connection.caller.CallerLimits;
import io.parsleycleat.core.connection.caller.CallerServer;
import io.parsleycleat.core.connection.peer.NettyPeerTransport;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.TrafficCounter;
import io.parsleycleat.core.connection.platform.HttpLogClient;
import io.parsleycleat.core.connection.platform.HttpVmList;
import io.parsleycleat.core.connection.platform.HttpWeightStore;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.WeightStore;
import io.parsleycleat.core.connection.upstream.HttpClients;
import io.parsleycleat.core.process.admin.AdminService;
import io.parsleycleat.core.process.admin.Readiness;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.version.configuration.ConfigurationStore;
import io.parsleycleat.core.version.configuration.StoreParts;
import io.parsleycleat.core.version.configuration.StoreSettings;
import io.parsleycleat.core.version.configuration.keys.CutOffMonitor;
import io.parsleycleat.core.version.configuration.keys.KeyGate;
import io.parsleycleat.wire.peer.Frame;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.asynchttpclient.AsyncHttpClient;
import org.jspecify.annotations.Nullable;

/**
 * What every process of the fleet is made of: threads, connections, membership and configuration.
 *
 * <p>Created once by an entry or a side; safe to share between threads.
 */
public final class ProcessBase implements AutoCloseable {
    private static final int LOOP_THREADS = 2;
    private static final int TIMER_THREADS = 2;
    private static final long STOP_QUIET_MILLIS = 50;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup loops = new NioEventLoopGroup(
            LOOP_THREADS,
            new ThreadFactoryBuilder().setNameFormat("loop-%d").setDaemon(true).build());
    private final ScheduledExecutorService scheduler = new GuardedScheduler(
            TIMER_THREADS,
            new ThreadFactoryBuilder().setNameFormat("timer-%d").setDaemon(true).build());
    private final MetricRegistry metrics = new MetricRegistry();
    private final TimeSource time = TimeSource.SYSTEM;
    private final PlatformSettings platform;
    private final AsyncHttpClient http;
    private final LogClient log;
    private final WeightStore weightStore;
    private final ProcessIdentity identity;
    private final Membership membership;
    private final NettyPeerTransport transport;
    private final CutOffMonitor monitor;
    private final ConfigurationStore configuration;
    private final KeyGate keys;
    private final AtomicReference<@Nullable ConfigurationStore> known = new AtomicReference<>();

    /** Creates the parts of a process; nothing is sent before the start. */
    public ProcessBase(
            VmSettings vm,
            ProcessRole role,
            InetSocketAddress peerAddress,
            PlatformSettings platform,
            ControlSettings control) {
        this.platform = platform;
        this.http = HttpClients.create(loops);
        this.log = new HttpLogClient(http, platform.log());
        this.weightStore = new HttpWeightStore(http, platform.weightStore());
        this.identity = vm.identity(role, IpAddresses.format(peerAddress), time.wallMillis());
        this.membership = new Membership(new HttpVmList(http, platform.vmList()), time);
        this.transport = new NettyPeerTransport(
                identity, loops, this::configurationVersion, this::observe, new TrafficCounter(metrics));
        this.monitor = new CutOffMonitor(time, membership, identity.dataCentre(), control.cutOff());
        this.configuration = new ConfigurationStore(
                new StoreParts(identity, log, transport, membership, monitor, scheduler, time),
                StoreSettings.DEFAULTS.withLogRetention(platform.logRetention()));
        known.set(configuration);
        metrics.gauge("process.heap.bytes", () -> ProcessBase::heapBytes);
        this.keys = new KeyGate(configuration, monitor, control.cutOffPolicy());
    }

    // Life cycle

    /** Binds the peer address and starts to read VM list and configuration. */
    public void start(InetSocketAddress peerAddress) {
        transport.listen(peerAddress);
        membership.start(scheduler, platform.vmListInterval());
        configuration.start(transport);
    }

    /** Starts to answer on the admin address. */
    public InetSocketAddress startAdmin(InetSocketAddress address, Supplier<Readiness> readiness) {
        return new CallerServer(loops, CallerLimits.DEFAULT, new AdminService(metrics, readiness)).listen(address);
    }

    @Override
    public void close() {
        configuration.close();
        transport.close();
        scheduler.shutdownNow();
        loops.shutdownGracefully(STOP_QUIET_MILLIS, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    }

    private static long heapBytes() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private void observe(PeerChannel from, Frame frame) {
        ConfigurationStore store = known.get();
        if (store != null) {
            store.onPeerVersion(from, frame.getConfigurationVersion());
        }
    }

    private long configurationVersion() {
        ConfigurationStore store = known.get();
        return store == null ? 0 : store.version();
    }

    // Parts

    /** Returns the event loops of all connections. */
    public EventLoopGroup loops() {
        return loops;
    }

    /** Returns the scheduler of timers. */
    public ScheduledExecutorService scheduler() {
        return scheduler;
    }

    /** Returns the metrics of the process. */
    public MetricRegistry metrics() {
        return metrics;
    }

    /** Returns the clocks. */
    public TimeSource time() {
        return time;
    }

    /** Returns the HTTP client. */
    public AsyncHttpClient http() {
        return http;
    }

    /** Returns the log. */
    public LogClient log() {
        return log;
    }

    /** Returns the weight store. */
    public WeightStore weightStore() {
        return weightStore;
    }

    /** Returns who the process is. */
    public ProcessIdentity identity() {
        return identity;
    }

    /** Returns the VM list. */
    public Membership membership() {
        return membership;
    }

    /** Returns the connections to other processes. */
    public NettyPeerTransport transport() {
        return transport;
    }

    /** Returns what is known of silence. */
    public CutOffMonitor monitor() {
        return monitor;
    }

    /** Returns the configuration. */
    public ConfigurationStore configuration() {
        return configuration;
    }

    /** Returns the check of callers' keys. */
    public KeyGate keys() {
        return keys;
    }
}
