import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment on loopback: store, entries and sides by the deploy file, and what a case adds. */
final class Fleet {
    /** Exit code of a broken rule, which `run.sh` turns into 1; a failed start of the JVM also ends with 1. */
    private static final int BROKEN = 11;

    static final String PLAIN = "\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_connections\":110,"
            + "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"lm\",\"health_path\":\"/health\",\"max_connections\":370,"
            + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_cache_tokens\":122011,"
            + "\"kv_token_bytes\":163840,\"link_mbps\":130000.0,\"stride\":3,\"cap\":12,\"pin_ms\":4000.0,"
            + "\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m0\",\"weights_mb\":65100.0,\"load_s\":0.72,"
            + "\"adapters\":3000,\"adapter_mb\":12.0}],\"weights_mb\":66600.0,\"adapter_slots\":17,\"loads_per_s\":2.8}}]";
    static final String ROUTES = "\"routes\":["
            + route("r-stream", "/stream/", "streaming", 15000, 800, "lm", 2, true) + ","
            + route("r-place", "/place/", "unsafe", 600, 121, "orders", 1, false) + ","
            + route("r-status", "/status/", "safe", 600, 121, "orders", 2, false) + ","
            + route("r-slow", "/upload/", "safe", 15000, 1000, "orders", 2, false) + "]";
    static final String LIMITS =
            "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                    + "\"idle_timeout_ms\":15000}";

    final Path folder;
    final Store store = new Store();
    final int front;
    final int ready;
    final int internal;
    final PrintWriter record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long start = System.currentTimeMillis();

    Fleet(Path caseFolder, String... ips) throws IOException {
        folder = Files.createTempDirectory("review");
        front = freeOn(ips);
        ready = freeOn(ips);
        internal = Proc.freeRange(ips);
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        say("trouble: " + trouble);
    }

    private static int freeOn(String[] ips) throws IOException {
        return Proc.freePort();
    }

    synchronized void say(String text) {
        String line = String.format("%7.3f %s", (System.currentTimeMillis() - start) / 1000.0, text);
        record.println(line);
    }

    static String route(String name, String prefix, String kind, int timeout, int aim, String service, int attempts,
            boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":" + aim
                + ",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
                + ",\"anonymous\":false,\"sticky_sessions\":" + resumable + ",\"resumable\":" + resumable + "}";
    }

    /** The manifest with some keys of one tenant, without a limit, so that only the key decides. */
    void manifest(int version, String... keys) {
        manifest(version, 0, keys);
    }

    /** The manifest with some keys of one tenant and its rate in tokens a second (0 for no limit), with as large a burst. */
    void manifest(int version, int rate, String... keys) {
        store.put("keyed.op", "config", "{\"version\":" + version + "," + ROUTES + "," + PLAIN + "," + LIMITS
                + ",\"tenants\":[{\"name\":\"tailors\",\"api_keys\":["
                + (keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\"") + "],\"priority\":1,\"unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":" + rate + ",\"burst\":"
                + rate + "}]}");
        say("manifest " + version + " acknowledged, keys " + String.join(" ", keys));
    }

    /** The manifest with as many routes more, which nobody asks for. */
    void bigManifest(int version, int moreRoutes, String... keys) {
        StringBuilder more = new StringBuilder();
        for (int i = 0; i < moreRoutes; i++) {
            more.append(',').append(route("r-more" + i, "/more" + i + "/", "safe", 600 + version, 121, "orders", 2, false));
        }
        String value = "{\"version\":" + version + "," + ROUTES.substring(0, ROUTES.length() - 1) + more + "]," + PLAIN + ","
                + LIMITS + ",\"tenants\":[{\"name\":\"tailors\",\"api_keys\":[\"" + String.join("\",\"", keys)
                + "\"],\"priority\":1,\"unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}]}";
        store.put("keyed.op", "config", value);
        say("manifest " + version + " acknowledged, " + value.length() + " bytes, keys " + String.join(" ", keys));
    }

    /** The manifest with an empty list of tenants. */
    void manifestWithoutTenants(int version) {
        store.put("keyed.op", "config", "{\"version\":" + version + "," + ROUTES + "," + PLAIN + "," + LIMITS
                + ",\"tenants\":[]}");
        say("manifest " + version + " acknowledged, no tenant");
    }

    Proc entry(String name, String ip) throws IOException {
        return Proc.ofRole("parsleycleat-entry",
                Proc.settings(name, "front", ip, "bole", front, ready, internal, store.address(), null, null), folder, name);
    }

    Proc side(String name, String ip, String engineAddress) throws IOException {
        return Proc.ofRole("parsleycleat-side",
                Proc.settings(name, "side", ip, "bole", 0, 0, internal, store.otherAddress(), engineAddress, "lm"), folder, name);
    }

    /** Engines write their entries about every heartbeat. */
    void beat(List<Engine> engines) {
        List<Engine> all = new ArrayList<>(engines);
        Thread t = new Thread(() -> {
            for (int n = 3;; n++) {
                for (Engine e : all) {
                    store.put("keyed.servers", e.id, e.entry("bole", n));
                }
                try {
                    Thread.sleep(1200);
                } catch (InterruptedException x) {
                    return;
                }
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /** Ends all processes and the script: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    void end(int code, String why) {
        say((code == 1 ? "BROKEN: " : code == 0 ? "held: " : "could not run: ") + why);
        System.out.println((code == 1 ? "BROKEN: " : code == 0 ? "held: " : "could not run: ") + why);
        Proc.killAll();
        System.exit(code == 1 ? BROKEN : code);
    }
}
