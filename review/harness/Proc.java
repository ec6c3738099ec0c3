import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process that the script starts: an entry or a side by the deploy file's command, or a stand-in. */
final class Proc {
    private static final List<Process> STARTED = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Proc::killAll));
    }

    private final List<String> command;
    private final Path settings;
    private final Path log;
    private Process process;

    Proc(List<String> command, Path settings, Path log) {
        this.command = command;
        this.settings = settings;
        this.log = log;
    }

    /** A process by the `run` line of its role in the deploy file. */
    static Proc ofRole(String role, String settingsJson, Path folder, String name) throws IOException {
        String toml = Files.readString(Path.of("deploy/system.toml"));
        Matcher m = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(toml);
        if (!m.find()) {
            throw new IOException("no role " + role);
        }
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settingsJson);
        return new Proc(Arrays.asList(m.group(1).split(" ")), settings, folder.resolve(name + ".log"));
    }

    /** A stand-in of this folder as a process of its own. */
    static Proc standIn(Path folder, String name, String main, String... arguments) {
        List<String> c = new ArrayList<>(List.of("java", "-Xmx64m", "-XX:+UseSerialGC", "-cp",
                System.getProperty("java.class.path"), main));
        c.addAll(Arrays.asList(arguments));
        return new Proc(c, null, folder.resolve(name + ".log"));
    }

    void start() throws IOException {
        ProcessBuilder b = new ProcessBuilder(command);
        if (settings != null) {
            b.environment().put("PARSLEYCLEAT_SETTINGS", settings.toString());
        }
        b.redirectErrorStream(true);
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        b.redirectInput(new File("/dev/null"));
        process = b.start();
        synchronized (STARTED) {
            STARTED.add(process);
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    static void killAll() {
        synchronized (STARTED) {
            STARTED.forEach(Process::destroyForcibly);
        }
    }

    // Settings

    /** A settings file in the platform's format, with the bounds of sites/mekdes-ops.toml. */
    static String settings(String name, String cls, String ip, String zone, int front, int ready, int internal,
            String store, String appAddress, String service) {
        String listen = cls.equals("front")
                ? "\"front\":\"" + ip + ":" + front + "\",\"ready\":\"" + ip + ":" + ready + "\"" : "";
        String app = appAddress == null ? "" : "\"app\":\"" + appAddress + "\",\"service\":\"" + service + "\",";
        return "{\"node_name\":\"" + name + "\",\"role\":\"parsleycleat-" + (cls.equals("front") ? "entry" : "side")
                + "\",\"machine_class\":\"" + cls + "\",\"serves\":[\"" + cls + "\"],\"ip\":\"" + ip
                + "\",\"zone\":\"" + zone + "\",\"region\":\"addis\",\"zones\":{\"bole\":\"addis\",\"piassa\":\"addis\"},"
                + "\"listen_addresses\":{" + listen + "}," + app
                + "\"internal_port_range\":[" + internal + "," + (internal + 15) + "],\"seed_nodes\":[],"
                + "\"bootstrap\":true,\"counts_toward_tolerance\":false,\"limits\":{\"cpu_share\":0.57,\"cores\":1,"
                + "\"memory_mb\":430,\"file_descriptors\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,"
                + "\"discovery\":\"platform\",\"entry\":\"virtual_ip\",\"heartbeat_ms\":1200,\"contracts\":[\"base\","
                + "\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"tenants\","
                + "\"quota\",\"platform\"],\"fault_tolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},\"bounds\":{"
                + "\"seed_lag_s\":3,\"address_reuse_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,"
                + "\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,"
                + "\"rollback_slack_ms\":250,\"max_stretch_ms\":5000,\"strict_revocation\":true,\"revoke_ms\":5000,"
                + "\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_extra_retries\":58,\"quota_window_s\":8,"
                + "\"quota_over\":0.1,\"quota_slack\":11000,\"recover_s\":12,\"pass_ms\":120,\"retry_after_s\":0,"
                + "\"require_fencing\":true,\"lease_ms\":3000,\"thaw_ms\":300,\"ceiling_window_s\":5,"
                + "\"ceiling_over\":1.1,\"version_ms\":5000},\"platform\":{\"address\":\"" + store + "\",\"form\":\"log\","
                + "\"writes_per_s\":400,\"reads_per_s\":2000,\"parts\":8,\"append_ms\":4.0,\"partition_mb_s\":20.0,"
                + "\"read_mb_s\":80.0,\"record_bytes\":262144,\"call_bytes\":2097152,\"keep_s\":300,\"part_mb\":200,"
                + "\"ttl_min_ms\":1000}}";
    }

    // Waiting

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    /** A base of 16 ports, the first three of which are free on the given addresses. */
    static int freeRange(String... ips) throws IOException {
        for (int base = 21000 + (int) (Math.random() * 9000); base < 32000; base += 37) {
            boolean free = true;
            for (String ip : ips) {
                for (int i = 0; i < 3 && free; i++) {
                    try (ServerSocket s = new ServerSocket(base + i, 1, InetAddress.getByName(ip))) {
                        free = s.isBound();
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    /** Asks for readiness as the platform does, until it is given. */
    static boolean awaitReady(String ip, int port, long millis) throws InterruptedException {
        long end = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < end) {
            if (isReady(ip, port)) {
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    static boolean isReady(String ip, int port) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(ip, port), 500);
            s.setSoTimeout(1000);
            s.getOutputStream().write("GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".getBytes());
            Http.Message m = Http.head(Http.buffered(s.getInputStream()));
            return m != null && m.status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }
}
