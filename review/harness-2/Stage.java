import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * What one case plays on: loopback addresses, the store, the processes of the system with the commands of the deploy
 * file, and the record of what was sent, answered and run.
 */
final class Stage implements AutoCloseable {
    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int CANNOT_RUN = 2;

    static final int FRONT_PORT = 18_221;
    static final int READY_PORT = 18_224;
    static final int APP_PORT = 18_228;
    static final int STORE_PORT = 18_225;
    static final int INTERNAL_PORT = 17_600;

    /** One run of a request by an engine. */
    record Run(String requestId, String engineId, String service, long nanos) {}

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path temporary;
    final Store store;
    final List<Run> runs = new ArrayList<>();
    /** Orders to load more than an engine holds. */
    final AtomicInteger overloads = new AtomicInteger();

    private final Path recordFile;
    private final long startNanos = System.nanoTime();
    private final String network;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();

    /** What a case does on its stage; returns one of the exit codes. */
    interface Play {
        int on(Stage stage) throws IOException, InterruptedException;
    }

    /** Plays a case, whose record goes into a folder, and returns its exit code. */
    static int play(String folder, Play play) {
        try (Stage stage = new Stage(Path.of(folder))) {
            Runtime.getRuntime().addShutdownHook(new Thread(stage::endProcesses, "end"));
            return play.on(stage);
        } catch (IOException | InterruptedException | RuntimeException e) {
            System.err.println("the case could not run: " + e);
            return CANNOT_RUN;
        }
    }

    private Stage(Path folder) throws IOException {
        recordFile = folder.resolve("record.txt");
        Files.deleteIfExists(recordFile);
        temporary = Files.createTempDirectory("review-case");
        network = freeNetwork();
        store = new Store(ip(7), STORE_PORT);
        record("trouble " + (trouble ? "on" : "off"));
    }

    /** Chooses loopback addresses on which the ports of all machines are free. */
    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 20; i++) {
            String candidate = "127." + (2 + random.nextInt(250)) + "." + random.nextInt(250) + ".";
            if (isFree(candidate + "7", STORE_PORT) && isFree(candidate + "11", FRONT_PORT)) {
                return candidate;
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    String ip(int machine) {
        return network + machine;
    }

    synchronized void record(String line) {
        try {
            String text = String.format("%8.3f s  %s%n", (System.nanoTime() - startNanos) / 1e9, line);
            Files.writeString(
                    recordFile,
                    text,
                    java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    synchronized void onRun(String requestId, String engineId, String service, Http.Message request) {
        runs.add(new Run(requestId, engineId, service, System.nanoTime()));
        record("run of " + requestId + " (" + request.path() + ", tenant " + request.header("Tenant") + ") by "
                + engineId + " of " + service);
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Processes of the system

    /** Starts an entry on a machine. */
    void startEntry(int machine) throws IOException {
        start(
                machine,
                "parsleycleat-entry",
                "\"machine_class\":\"front\",\"serves\":[\"front\"],\"listen_addresses\":{\"front\":\""
                        + ip(machine) + ":" + FRONT_PORT + "\",\"ready\":\"" + ip(machine) + ":" + READY_PORT + "\"},");
    }

    /** Starts the side on the machine of a model engine. */
    void startSide(int machine, String service) throws IOException {
        start(
                machine,
                "parsleycleat-side",
                "\"machine_class\":\"side\",\"serves\":[\"side\"],\"listen_addresses\":{},\"app\":\"" + ip(machine)
                        + ":" + APP_PORT + "\",\"service\":\"" + service + "\",");
    }

    private void start(int machine, String role, String roleSettings) throws IOException {
        String name = role + "-" + machine;
        Path settings = temporary.resolve(name + ".json");
        Files.writeString(
                settings,
                "{\"node_name\":\"" + name + "\",\"role\":\"" + role + "\"," + roleSettings + "\"ip\":\"" + ip(machine)
                        + "\",\"zone\":\"bole\",\"region\":\"addis\",\"zones\":{\"bole\":\"addis\"},"
                        + "\"internal_port_range\":[" + INTERNAL_PORT + "," + (INTERNAL_PORT + 15) + "],"
                        + "\"seed_nodes\":[],\"bootstrap\":true,\"counts_toward_tolerance\":false,"
                        + "\"limits\":{\"cpu_share\":0.57,\"cores\":1,\"memory_mb\":430,\"file_descriptors\":4100,"
                        + "\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\","
                        + "\"entry\":\"virtual_ip\",\"heartbeat_ms\":" + Engine.HEARTBEAT_MILLIS + ","
                        + "\"fault_tolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},"
                        + "\"bounds\":{\"seed_lag_s\":3,\"address_reuse_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,"
                        + "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,"
                        + "\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"max_stretch_ms\":5000,"
                        + "\"strict_revocation\":true,\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,"
                        + "\"budget_window_s\":10,\"budget_extra_retries\":58,\"quota_window_s\":8,"
                        + "\"quota_over\":0.1,\"quota_slack\":11000,\"recover_s\":12,\"pass_ms\":120,"
                        + "\"retry_after_s\":0,\"require_fencing\":true,\"lease_ms\":3000,\"thaw_ms\":300,"
                        + "\"ceiling_window_s\":5,\"ceiling_over\":1.1,\"version_ms\":5000},"
                        + "\"platform\":{\"address\":\"" + ip(7) + ":" + STORE_PORT + "\",\"form\":\"log\","
                        + "\"writes_per_s\":400,\"reads_per_s\":2000,\"parts\":8,\"append_ms\":4.0,"
                        + "\"partition_mb_s\":20.0,\"read_mb_s\":80.0,\"record_bytes\":262144,"
                        + "\"call_bytes\":2097152,\"keep_s\":300,\"part_mb\":200,\"ttl_min_ms\":1000}}");
        ProcessBuilder builder = new ProcessBuilder(command(role)).redirectErrorStream(true);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("PARSLEYCLEAT_SETTINGS", settings.toString());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                temporary.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
        record("process " + name + " starts");
    }

    /** Returns the command line of a role in the deploy file. */
    private static List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            inRole = line.startsWith("[") ? line.equals("[roles." + role + "]") : inRole;
            if (inRole && line.startsWith("run = \"")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return Arrays.asList(run.split(" +"));
            }
        }
        throw new IOException("no command for " + role);
    }

    /** Kills a process of the system with SIGKILL. */
    void kill(String role, int machine) {
        Process process = processes.remove(role + "-" + machine);
        record("process " + role + "-" + machine + " is killed");
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until an entry says that it is ready. */
    boolean awaitReady(int machine, long timeoutMillis) {
        long until = System.nanoTime() + timeoutMillis * 1_000_000L;
        while (System.nanoTime() < until) {
            if (isReady(machine)) {
                record("entry " + machine + " is ready");
                return true;
            }
            sleep(20);
        }
        return false;
    }

    boolean isReady(int machine) {
        try {
            InetSocketAddress address = new InetSocketAddress(ip(machine), READY_PORT);
            return Http.call(address, "GET /readiness", "Host: ready\r\n", new byte[0], 1_000)
                            .status()
                    == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    // Callers

    /** Sends one request as a client does and records its answer; returns the status, or 0 if there was none. */
    int send(int machine, String requestId, String path, String key, String more, int deadlineMillis) {
        record("sent " + requestId + " " + path + " to entry " + machine + (key.isEmpty() ? "" : " with key " + key));
        String headers = "Host: shop.example\r\nRequest-Id: " + requestId + "\r\nDeadline-Ms: " + deadlineMillis
                + "\r\n" + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n") + more;
        try {
            InetSocketAddress address = new InetSocketAddress(ip(machine), FRONT_PORT);
            Http.Message answer =
                    Http.call(address, "POST " + path, headers, "{}".getBytes(), deadlineMillis + 1_000);
            record("answer to " + requestId + ": " + answer.status() + ", seal " + answer.header("Server-Seal"));
            return answer.status();
        } catch (IOException | RuntimeException e) {
            record("no answer to " + requestId + ": " + e);
            return 0;
        }
    }

    private void endProcesses() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Ends all processes that this case has started. */
    @Override
    public void close() throws IOException {
        endProcesses();
        store.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + temporary);
            return;
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
