package io.parsleycleat.standin.measure.configuration;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.connection.peer.NettyPeerTransport;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.platform.HttpLogClient;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.connection.upstream.HttpClients;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.version.configuration.ConfigurationStore;
import io.parsleycleat.core.version.configuration.StoreParts;
import io.parsleycleat.core.version.configuration.StoreSettings;
import io.parsleycleat.core.version.configuration.keys.CutOffMonitor;
import io.parsleycleat.standin.platform.LogOptions;
import io.parsleycleat.standin.platform.LogStandIn;
import io.parsleycleat.wire.peer.Frame;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.asynchttpclient.AsyncHttpClient;

/**
 * Configuration stores that talk over loopback and read one stand-in of the log, all in this process.
 *
 * <p>Created by {@link ConfigurationMeasurement}; used by one thread, its stores by many.
 */
final class MeasuredFleet implements AutoCloseable {
    private static final Duration BOUND = Duration.ofSeconds(15);
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(5);
    private static final int LENGTH_PREFIX_BYTES = 2;
    private static final int TCP_IP_BYTES = 52;

    private final EventLoopGroup loops = new NioEventLoopGroup(2);
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private final AsyncHttpClient http = HttpClients.create(loops);
    private final LogStandIn log;
    private final CountingLogClient logClient;
    private final LongAdder frames = new LongAdder();
    private final LongAdder frameBytes = new LongAdder();
    private final List<NettyPeerTransport> transports = new ArrayList<>();
    private final List<ConfigurationStore> stores = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final Map<ConfigurationStore, Long> reached = new ConcurrentHashMap<>();
    private volatile Target current = new Target(Long.MAX_VALUE, new CountDownLatch(1), ConcurrentHashMap.newKeySet());

    /** The version that is waited for, and which stores have it. Created for each wait. */
    private record Target(long version, CountDownLatch missing, Set<ConfigurationStore> done) {}

    MeasuredFleet(int size, int dataCentres, StoreSettings settings) throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        log = new LogStandIn(new InetSocketAddress(loopback, 0), LogOptions.DEFAULT, TimeSource.SYSTEM);
        logClient = new CountingLogClient(new HttpLogClient(http, log.uri()));
        for (int i = 0; i < size; i++) {
            try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
                vms.add(vm("vm-" + i, "dc-" + i % dataCentres, free.getLocalPort()));
            }
        }
        vms.forEach(vm -> addStore(vm, settings));
    }

    /** Waits until all stores have a version. */
    void awaitAll(long version) throws InterruptedException {
        Target target = new Target(version, new CountDownLatch(stores.size()), ConcurrentHashMap.newKeySet());
        current = target;
        stores.forEach(this::look);
        if (!target.missing().await(1, TimeUnit.MINUTES)) {
            throw new IllegalStateException("a store has no version " + version + " after a minute");
        }
    }

    /** Returns when each store reached the version that was waited for last. */
    List<Long> reachedNanos() {
        return stores.stream().map(store -> reached.getOrDefault(store, 0L)).toList();
    }

    List<ConfigurationStore> stores() {
        return stores;
    }

    long frames() {
        return frames.sum();
    }

    long frameBytes() {
        return frameBytes.sum();
    }

    long logReads() {
        return logClient.reads();
    }

    long logBytes() {
        return logClient.bytes();
    }

    @Override
    public void close() throws IOException {
        stores.forEach(ConfigurationStore::close);
        transports.forEach(NettyPeerTransport::close);
        scheduler.shutdownNow();
        http.close();
        log.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void addStore(Vm vm, StoreSettings settings) {
        ProcessIdentity identity = new ProcessIdentity(
                vm.name(),
                vm.role(),
                vm.dataCentre(),
                vm.region(),
                vm.peerAddress(),
                ProcessIdentity.newIncarnation(0));
        Membership membership = new Membership(() -> CompletableFuture.completedFuture(vms), TimeSource.SYSTEM);
        CutOffMonitor monitor = new CutOffMonitor(TimeSource.SYSTEM, membership, vm.dataCentre(), BOUND);
        CompletableFuture<ConfigurationStore> created = new CompletableFuture<>();
        NettyPeerTransport transport = new NettyPeerTransport(
                identity,
                loops,
                () -> created.isDone() ? created.join().version() : 0,
                (from, frame) -> onFrame(created.join(), from, frame));
        transports.add(transport);
        ConfigurationStore store = new ConfigurationStore(
                new StoreParts(identity, logClient, transport, membership, monitor, scheduler, TimeSource.SYSTEM),
                settings);
        created.complete(store);
        stores.add(store);
        membership.start(scheduler, LIST_INTERVAL);
        store.onChange(view -> look(store));
        store.start(transport);
        transport.listen(IpAddresses.parse(vm.peerAddress()).orElseThrow());
    }

    private void look(ConfigurationStore store) {
        Target target = current;
        if (store.isReady()
                && store.version() >= target.version()
                && target.done().add(store)) {
            reached.put(store, System.nanoTime());
            target.missing().countDown();
        }
    }

    private void onFrame(ConfigurationStore store, PeerChannel from, Frame frame) {
        frames.increment();
        frameBytes.add(frame.getSerializedSize() + LENGTH_PREFIX_BYTES + TCP_IP_BYTES);
        if (!frame.hasHello()) {
            store.onPeerVersion(from, frame.getConfigurationVersion());
        }
    }

    private static Vm vm(String name, String dataCentre, int port) {
        return new Vm(name, ProcessRole.ENTRY, "127.0.0.1:" + port, dataCentre, "region-1", "", false);
    }
}
