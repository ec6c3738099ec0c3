import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A sound model engine that holds one base model and adapters of it. It writes its description to the store, takes
 * orders, and records each run with the version on which it began. A replacement of an adapter waits for its runs; until
 * it is complete, requests for the adapter that have not started get 503.
 */
final class Engine {
    static final String MODEL = "m0";
    static final int MEMORY_TOKENS = 130_580;
    private static final int ADAPTER_PLACES = 8;
    private static final long LOAD_MILLIS = 250;
    /** Two steps of 15 ms, each of which makes a token, as on an engine with some tens of runs. */
    static final int EVENT_MILLIS = 30;

    static final int TOKENS_PER_EVENT = 2;
    private static final Pattern FIELD = Pattern.compile("\"(\\w+)\"\\s*:\\s*(\"([^\"]*)\"|-?\\d+)");

    private final HttpServer server;
    private final String id;
    private final Store store;
    private final Record record;
    private final Map<String, Long> newestVersions;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, Threads::daemon);
    private final long born = System.currentTimeMillis();
    private final Map<String, Long> adapters = new TreeMap<>();
    private final Map<String, Long> coming = new TreeMap<>();
    private final Set<String> replacing = new HashSet<>();
    private final Map<String, Integer> running = new TreeMap<>();
    private final List<Run> runs = new ArrayList<>();
    private int usedTokens;
    private long sequence;
    private long highestFence;
    private volatile boolean left;
    private volatile boolean longRunsEnd;

    /** A run and the version of its adapter on which it began. */
    record Run(String requestId, String adapter, long version, long beganMillis) {}

    /** Creates an engine that holds some adapters; the given map tells the newest version of each at any time. */
    Engine(InetSocketAddress address, String id, Store store, Record record, Map<String, Long> newestVersions)
            throws IOException {
        this.id = id;
        this.store = store;
        this.record = record;
        this.newestVersions = newestVersions;
        server = HttpServer.create(address, 200);
        server.setExecutor(Executors.newCachedThreadPool(Threads::daemon));
        server.createContext("/", this::handle);
        server.start();
    }

    /** Begins to describe itself in the store. */
    void start(String service, String zone) {
        timers.scheduleAtFixedRate(() -> describe(service, zone), 0, 1_200, TimeUnit.MILLISECONDS);
    }

    /** Ends: its connections break. */
    void stop() {
        timers.shutdownNow();
        server.stop(0);
    }

    /** Removes its description from the store, as an engine does that leaves without a word, and goes on to serve. */
    synchronized void leave() {
        left = true;
        store.put("keyed.servers", id, "");
    }

    /** Ends the runs whose request's id begins with "long-": their answers have fewer tokens than they may have. */
    void endLongRuns() {
        longRunsEnd = true;
    }

    /** Returns the runs so far. */
    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    private synchronized void describe(String service, String zone) {
        if (left) {
            return;
        }
        InetSocketAddress address = server.getAddress();
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + address.getAddress().getHostAddress() + ":"
                        + address.getPort() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":"
                        + sequence + ",\"born\":" + born + ",\"stage\":\"combined\",\"models\":" + models() + "}");
    }

    private String models() {
        return "[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[" + names("", adapters) + "]}]";
    }

    private static String names(String prefix, Map<String, Long> versions) {
        return String.join(
                ",",
                versions.entrySet().stream()
                        .map(e -> "\"" + prefix + e.getKey() + "@" + e.getValue() + "\"")
                        .toList());
    }

    private void handle(HttpExchange call) throws IOException {
        try (call) {
            if (left) {
                call.getResponseHeaders().set("Server-Leaving", "1");
            }
            String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            switch (call.getRequestURI().getPath()) {
                case "/report" -> respond(call, 200, report());
                case "/health" -> {
                    call.getResponseHeaders().set("Instance-Id", id);
                    respond(call, 200, "{}");
                }
                case "/order" -> respond(call, order(call, body), "{}");
                default -> run(call);
            }
        }
    }

    private synchronized String report() {
        int count = running.values().stream().mapToInt(Integer::intValue).sum();
        return "{\"stage\":\"combined\",\"models\":" + models() + ",\"busy\":false,\"sequence\":" + sequence
                + ",\"waiting\":0,\"running\":" + count + ",\"kv_used\":" + usedTokens + ",\"kv_total\":" + MEMORY_TOKENS + ",\"handles\":0,\"born\":" + born
                + ",\"coming\":[" + names(MODEL + "/", coming) + "]}";
    }

    // Orders

    private synchronized int order(HttpExchange call, String body) {
        Map<String, String> fields = new TreeMap<>();
        Matcher matcher = FIELD.matcher(body);
        while (matcher.find()) {
            fields.put(matcher.group(1), matcher.group(3) == null ? matcher.group(2) : matcher.group(3));
        }
        int status = carryOut(call, fields);
        record.line("order %s: %d", body, status);
        return status;
    }

    private int carryOut(HttpExchange call, Map<String, String> order) {
        String expectedId = call.getRequestHeaders().getFirst("Expect-Instance");
        String adapter = order.get("adapter");
        if (expectedId != null && !expectedId.equals(id)) {
            return 421;
        }
        boolean known = "load".equals(order.get("operation")) || "unload".equals(order.get("operation"));
        if (!known || order.get("holder") == null || order.get("fencing_token") == null) {
            return 400;
        }
        long fence = Long.parseLong(order.get("fencing_token"));
        if (fence < highestFence) {
            return 412;
        }
        highestFence = fence;
        if (order.containsKey("expected") && Long.parseLong(order.get("expected")) != sequence) {
            return 409;
        }
        if (adapter == null) {
            // The base model is there from the start; no case unloads it.
            return order.get("operation").equals("load") ? 200 : 409;
        }
        if (order.get("operation").equals("unload")) {
            sequence++;
            return unload(adapter);
        }
        long version = order.containsKey("version")
                ? Long.parseLong(order.get("version"))
                : newestVersions.getOrDefault(adapter, 1L);
        if (adapters.getOrDefault(adapter, 0L) >= version) {
            return 200;
        }
        if (adapters.size() + coming.size() >= ADAPTER_PLACES && !adapters.containsKey(adapter)) {
            return 409;
        }
        sequence++;
        if (adapters.containsKey(adapter)) {
            replacing.add(adapter);
        } else {
            coming.put(adapter, version);
        }
        timers.schedule(() -> finishLoad(adapter, version), LOAD_MILLIS, TimeUnit.MILLISECONDS);
        return 202;
    }

    /** An unload waits for the runs of the adapter. */
    private synchronized int unload(String adapter) {
        if (running.getOrDefault(adapter, 0) > 0) {
            timers.schedule(() -> unload(adapter), 10, TimeUnit.MILLISECONDS);
            return 202;
        }
        adapters.remove(adapter);
        return 200;
    }

    private synchronized void finishLoad(String adapter, long version) {
        if (adapters.containsKey(adapter) && running.getOrDefault(adapter, 0) > 0) {
            timers.schedule(() -> finishLoad(adapter, version), 10, TimeUnit.MILLISECONDS);
            return;
        }
        coming.remove(adapter);
        replacing.remove(adapter);
        adapters.put(adapter, version);
        record.line("%s holds %s@%d", id, adapter, version);
    }

    // Runs

    private void run(HttpExchange call) throws IOException {
        String requestId = call.getRequestHeaders().getFirst("Request-Id");
        String model = call.getRequestHeaders().getFirst("Model");
        String adapter = model == null || model.indexOf('/') < 0 ? "" : model.substring(model.indexOf('/') + 1);
        String expectedId = call.getRequestHeaders().getFirst("Expect-Instance");
        String expectedVersion = call.getRequestHeaders().getFirst("Expect-Version");
        int events = Integer.parseInt(call.getRequestHeaders().getFirst("Token-Counts").split(",")[1]) / TOKENS_PER_EVENT;
        long version;
        boolean replaced;
        int tokens = tokens(call);
        synchronized (this) {
            version = adapters.getOrDefault(adapter, 0L);
            replaced = replacing.contains(adapter);
            boolean wrong = (expectedId != null && !expectedId.equals(id))
                    || version == 0
                    || (expectedVersion != null && Long.parseLong(expectedVersion) != version);
            if (wrong || replaced) {
                version = -1;
            } else {
                running.merge(adapter, 1, Integer::sum);
                usedTokens += tokens;
                runs.add(new Run(requestId, adapter, version, record.now()));
            }
        }
        if (requestId != null) {
            call.getResponseHeaders().set("Request-Id", requestId);
        }
        if (version < 0) {
            int status = replaced ? 503 : 421;
            record.line(
                    "%s turns request %s for %s, version %s, away with %d", id, requestId, adapter, expectedVersion, status);
            call.getResponseHeaders().set("Not-Executed", "1");
            respond(call, status, "{}");
            return;
        }
        record.line("%s begins request %s on %s@%d", id, requestId, adapter, version);
        try {
            stream(call, requestId, version, events);
        } finally {
            synchronized (this) {
                running.merge(adapter, -1, Integer::sum);
                usedTokens -= tokens;
            }
            record.line("%s ends request %s", id, requestId);
        }
    }

    /** Returns the tokens of the prompt and the most that the answer may have. */
    private static int tokens(HttpExchange call) {
        String[] counts = call.getRequestHeaders().getFirst("Token-Counts").split(",");
        return Integer.parseInt(counts[0]) + Integer.parseInt(counts[1]);
    }

    private void stream(HttpExchange call, String requestId, long version, int events) throws IOException {
        call.getResponseHeaders().set("Content-Type", "text/event-stream");
        call.getResponseHeaders().set("Server-Seal", "seal-of-" + requestId);
        call.getResponseHeaders().set("Weight-Versions", Long.toString(version));
        call.sendResponseHeaders(200, 0);
        OutputStream out = call.getResponseBody();
        for (int i = 1; i <= events && !(requestId.startsWith("long-") && longRunsEnd); i++) {
            out.write(("id: " + i + "\ndata: version " + version + "\n\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            Threads.sleep(EVENT_MILLIS);
        }
    }

    private static void respond(HttpExchange call, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
    }
}
