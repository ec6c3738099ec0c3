import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts the project's programs with the commands of the deploy file, and ends them. */
final class Fleet {
    static final String SERVICE = "llm";
    static final String ZONE = "z1";
    private static final long SIDES_START_MILLIS = 2_000;

    private final Path repository;
    private final Path folder;
    private final int basePort;
    private final List<Process> processes = new ArrayList<>();

    Fleet(Path repository, Path folder) throws IOException {
        this.repository = repository;
        this.folder = folder;
        this.basePort = freePorts();
    }

    /** Returns the address at which callers reach an entry. */
    InetSocketAddress callers(String ip) {
        return new InetSocketAddress(ip, basePort + 20);
    }

    InetSocketAddress ready(String ip) {
        return new InetSocketAddress(ip, basePort + 21);
    }

    /** Returns the address of the engine beside a side. */
    InetSocketAddress engine(String ip) {
        return new InetSocketAddress(ip, basePort + 22);
    }

    Process startEntry(String name, String ip, InetSocketAddress store) throws IOException {
        String listen = "{\"front\":\"" + text(callers(ip)) + "\",\"ready\":\"" + text(ready(ip)) + "\"}";
        return start(name, "front", "parsleycleat-entry", ip, store, listen, "");
    }

    Process startSide(String name, String ip, InetSocketAddress store) throws IOException {
        String engine = "\"app\":\"" + text(engine(ip)) + "\",\"service\":\"" + SERVICE + "\",";
        return start(name, "side", "parsleycleat-side", ip, store, "{}", engine);
    }

    /** Ends all processes that were started, and deletes their settings and logs. */
    void end() {
        processes.forEach(Process::destroyForcibly);
        processes.forEach(p -> {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        File[] files = folder.toFile().listFiles();
        Stream.of(files == null ? new File[0] : files).forEach(File::delete);
        folder.toFile().delete();
    }

    /** Waits until an entry says that it is ready, and then for the sides, which begin at the same time. */
    boolean awaitReady(String ip, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket(ip, ready(ip).getPort())) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.ISO_8859_1));
                String answer = new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
                if (answer.endsWith("200")) {
                    Threads.sleep(SIDES_START_MILLIS);
                    return true;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            Threads.sleep(100);
        }
        return false;
    }

    private Process start(
            String name, String machine, String role, String ip, InetSocketAddress store, String listen, String more)
            throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(
                settings,
                "{\"node_name\":\"" + name + "\",\"role\":\"" + role + "\",\"machine_class\":\"" + machine
                        + "\",\"serves\":[\"" + machine + "\"],\"ip\":\"" + ip + "\",\"zone\":\"" + ZONE
                        + "\",\"region\":\"r1\",\"zones\":{\"" + ZONE + "\":\"r1\"},\"listen_addresses\":" + listen
                        + ",\"internal_port_range\":[" + basePort + "," + (basePort + 15) + "],\"seed_nodes\":[],"
                        + "\"bootstrap\":true,\"limits\":{\"cpu_share\":0.57,\"cores\":1,\"memory_mb\":430,"
                        + "\"file_descriptors\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,"
                        + "\"heartbeat_ms\":1200," + more
                        + "\"bounds\":{\"seed_lag_s\":3,\"address_reuse_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,"
                        + "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,"
                        + "\"rollback_slack_ms\":250,\"max_stretch_ms\":5000,\"strict_revocation\":true,\"revoke_ms\":5000,"
                        + "\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_extra_retries\":52,"
                        + "\"quota_window_s\":8,\"quota_over\":0.1,\"quota_slack\":11000,\"recover_s\":12,\"pass_ms\":120,"
                        + "\"retry_after_s\":0,\"require_fencing\":true,\"lease_ms\":3000,\"thaw_ms\":300,"
                        + "\"version_ms\":5000},\"platform\":{\"address\":\"" + text(store)
                        + "\",\"form\":\"log\",\"writes_per_s\":400,\"reads_per_s\":2000}}");
        ProcessBuilder builder = new ProcessBuilder(command(role))
                .directory(repository.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        builder.environment().put("PARSLEYCLEAT_SETTINGS", settings.toString());
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    /** Returns the words of the command of a role in the deploy file. */
    private List<String> command(String role) throws IOException {
        String deploy = Files.readString(repository.resolve("deploy").resolve("system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "]\\s*run = \"([^\"]*)\"").matcher(deploy);
        if (!matcher.find()) {
            throw new IOException("no role " + role + " in the deploy file");
        }
        return List.of(matcher.group(1).split(" +"));
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns a port from which on 24 ports are free on the loopback address. */
    private static int freePorts() throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int base = 20_000 + (int) (Math.random() * 10_000);
            if (areFree(base)) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(int base) {
        for (int port = base; port < base + 24; port++) {
            for (String ip : List.of("127.0.0.11", "127.0.0.21")) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                    socket.setReuseAddress(true);
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }
}
