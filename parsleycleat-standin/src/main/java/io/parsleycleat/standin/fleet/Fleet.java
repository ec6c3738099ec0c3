package io.parsleycleat.standin.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.standin.StandInMain;
import io.parsleycleat.standin.http.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * A fleet of stand-ins and daemons, each a process of its own on loopback.
 *
 * <p>Created by the demo, the load tool and tests over processes; safe to share between threads. Every process that it
 * started is ended, by its id, when the fleet is closed or this process ends.
 */
public final class Fleet implements AutoCloseable {
    /** Time in which a process must listen or be ready. */
    public static final Duration START_TIMEOUT = Duration.ofSeconds(60);

    private static final String ENTRY_MAIN = "io.parsleycleat.daemon.EntryMain";
    private static final String SIDE_MAIN = "io.parsleycleat.daemon.SideMain";
    private static final List<String> JVM_OPTIONS =
            List.of("-Xmx96m", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

    private final Path directory;
    private final List<String> jvmOptions;
    private final OperatorKey operatorKey = OperatorKey.create();
    private final FleetHttp http = new FleetHttp();
    private final FleetSettings settings = new FleetSettings();
    private final List<FleetProcess> processes = new CopyOnWriteArrayList<>();
    private final Thread endAtShutdown = new Thread(this::endAndDelete, "end of the fleet");
    private @Nullable StandInNode log;
    private @Nullable StandInNode vmList;
    private @Nullable StandInNode weightStore;

    private Fleet(Path directory, List<String> jvmOptions) {
        this.directory = directory;
        this.jvmOptions = List.copyOf(jvmOptions);
        Runtime.getRuntime().addShutdownHook(endAtShutdown);
    }

    /** Creates a fleet without processes, whose files go to a temporary directory. */
    public static Fleet create() {
        return create(JVM_OPTIONS);
    }

    /** Creates a fleet whose processes run with other options of the JVM. */
    public static Fleet create(List<String> jvmOptions) {
        try {
            return new Fleet(Files.createTempDirectory("parsleycleat-fleet"), jvmOptions);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // Platform and upstreams

    /** Starts log, VM list and weight store with their defaults. */
    public Fleet startPlatform() {
        startLog();
        startVmList();
        startWeightStore();
        return this;
    }

    /** Starts the log. */
    public StandInNode startLog(String... options) {
        log = startStandIn("log", "log", options);
        return log;
    }

    /** Starts the VM list. */
    public StandInNode startVmList(String... options) {
        vmList = startStandIn("vm-list", "vm-list", options);
        return vmList;
    }

    /** Starts the weight store. */
    public StandInNode startWeightStore(String... options) {
        weightStore = startStandIn("weight-store", "weight-store", options);
        return weightStore;
    }

    /** Starts a model engine that loads from the weight store. */
    public StandInNode startEngine(String name, String... options) {
        List<String> all =
                new ArrayList<>(List.of("--weight-store", weightStore().uri().toString()));
        all.addAll(List.of(options));
        return startStandIn(name, "model-engine", all.toArray(String[]::new));
    }

    /** Starts a plain service. */
    public StandInNode startService(String name, String... options) {
        return startStandIn(name, "plain-service", options);
    }

    /** Returns the log. */
    public StandInNode log() {
        return Objects.requireNonNull(log, "no log was started");
    }

    /** Returns the VM list. */
    public StandInNode vmList() {
        return Objects.requireNonNull(vmList, "no VM list was started");
    }

    /** Returns the weight store. */
    public StandInNode weightStore() {
        return Objects.requireNonNull(weightStore, "no weight store was started");
    }

    // Daemons

    /** Starts an entry on a VM that the list shows. */
    public DaemonNode startEntry(String name, Place place) {
        return startEntry(name, place, UnaryOperator.identity());
    }

    /** Starts an entry with changed settings. */
    public DaemonNode startEntry(String name, Place place, UnaryOperator<ObjectNode> change) {
        ObjectNode node = change.apply(settings.entry(name, place, platform(), operatorKey.hash()));
        return startDaemon(ProcessRole.ENTRY, name, place, "", node);
    }

    /** Starts a side beside a model engine. */
    public DaemonNode startEngineSide(String name, Place place, StandInNode engine) {
        return startEngineSide(name, place, engine, UnaryOperator.identity());
    }

    /** Starts a side beside a model engine with changed settings. */
    public DaemonNode startEngineSide(String name, Place place, StandInNode engine, UnaryOperator<ObjectNode> change) {
        String id = engine.process().name();
        FleetSettings.Upstream upstream = new FleetSettings.Upstream(id, engine.uri(), "", true);
        ObjectNode node = change.apply(settings.side(name, place, platform(), upstream));
        return startDaemon(ProcessRole.SIDE, name, place, id, node);
    }

    /** Starts a side beside a plain service with changed settings. */
    public DaemonNode startServiceSide(
            String name, Place place, StandInNode upstream, String service, UnaryOperator<ObjectNode> change) {
        String id = upstream.process().name();
        FleetSettings.Upstream plain = new FleetSettings.Upstream(id, upstream.uri(), service, false);
        ObjectNode node = change.apply(settings.side(name, place, platform(), plain));
        return startDaemon(ProcessRole.SIDE, name, place, id, node);
    }

    /** Starts a daemon again with the settings of one that has ended. */
    public DaemonNode restart(DaemonNode ended) {
        FleetProcess process = launchDaemon(ended.vm(), ended.settings());
        return new DaemonNode(process, ended.vm(), ended.settings(), http);
    }

    /** Puts a daemon's row into the VM list. */
    public void list(DaemonNode daemon, boolean leaving) {
        putVm(daemon.vm(), leaving);
    }

    /** Removes a VM's row from the list. */
    public void unlist(String vmName) {
        http.send("DELETE", URI.create(vmList().uri() + "/control/vms/" + vmName), Json.object());
    }

    /** Connects to the operators' interface of an entry with the first operator's key. */
    public OperatorClient operator(DaemonNode entry) {
        return new OperatorClient(entry.operators(), operatorKey);
    }

    // Parts

    /** Returns the first operator's key. */
    public OperatorKey operatorKey() {
        return operatorKey;
    }

    /** Returns the HTTP client. */
    public FleetHttp http() {
        return http;
    }

    /** Returns the directory of settings files and logs. */
    public Path directory() {
        return directory;
    }

    /** Returns the last process that was started with a name. */
    public Optional<FleetProcess> process(String name) {
        return processes.stream().filter(p -> p.name().equals(name)).reduce((first, second) -> second);
    }

    /** Returns all processes that were started. */
    public List<FleetProcess> processes() {
        return List.copyOf(processes);
    }

    @Override
    public void close() {
        endAndDelete();
        http.close();
        Runtime.getRuntime().removeShutdownHook(endAtShutdown);
    }

    // Internals

    private StandInNode startStandIn(String name, String command, String... options) {
        List<String> arguments = new ArrayList<>(List.of(command));
        arguments.addAll(List.of(options));
        FleetProcess process = launch(name, StandInMain.class.getName(), arguments);
        String line = process.awaitListening(START_TIMEOUT);
        return new StandInNode(process, URI.create("http://" + line.substring(line.indexOf(' ') + 1)), http);
    }

    private DaemonNode startDaemon(
            ProcessRole role, String name, Place place, String upstreamId, ObjectNode daemonSettings) {
        String peers = daemonSettings.path("listen").path("peers").asText();
        Vm vm = new Vm(name, role, peers, place.dataCentre(), place.region(), upstreamId, false);
        putVm(vm, false);
        return new DaemonNode(launchDaemon(vm, daemonSettings), vm, daemonSettings, http);
    }

    private FleetProcess launchDaemon(Vm vm, ObjectNode daemonSettings) {
        Path file = directory.resolve(vm.name() + ".json");
        try {
            Files.writeString(file, daemonSettings.toPrettyString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        String main = vm.role() == ProcessRole.ENTRY ? ENTRY_MAIN : SIDE_MAIN;
        FleetProcess process = launch(vm.name(), main, List.of("--settings", file.toString()));
        process.awaitListening(START_TIMEOUT);
        return process;
    }

    private FleetProcess launch(String name, String mainClass, List<String> arguments) {
        FleetProcess process = FleetProcess.start(name, directory, jvmOptions, mainClass, arguments);
        processes.add(process);
        return process;
    }

    private void putVm(Vm vm, boolean leaving) {
        ObjectNode row = Json.object()
                .put("role", vm.role().label())
                .put("peerAddress", vm.peerAddress())
                .put("dataCentre", vm.dataCentre())
                .put("region", vm.region())
                .put("upstreamId", vm.upstreamId())
                .put("leaving", leaving);
        http.send("PUT", URI.create(vmList().uri() + "/control/vms/" + vm.name()), row);
    }

    private FleetSettings.Platform platform() {
        return new FleetSettings.Platform(
                log().uri(), vmList().uri(), weightStore().uri());
    }

    private void endAndDelete() {
        endAll();
        deleteFiles();
    }

    private void endAll() {
        processes.forEach(FleetProcess::kill);
        processes.forEach(p -> p.awaitExit(STOP_TIMEOUT));
    }

    private void deleteFiles() {
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(Fleet::delete);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void delete(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
