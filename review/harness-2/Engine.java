import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound engine: it describes itself in the store, carries out orders, and runs the requests that name it. */
final class Engine implements AutoCloseable {
    /** Interval of its reports to the store, as in the settings. */
    static final int HEARTBEAT_MILLIS = 1_200;

    private static final int LOAD_MILLIS = 250;

    final String id;
    private final Stage stage;
    private final String service;
    private final String address;
    private final String zone;
    private final boolean isModelEngine;
    private final long born = System.currentTimeMillis();
    private final Map<String, Long> adapters = new TreeMap<>();
    private final Map<String, Long> coming = new TreeMap<>();
    private final Http.Server server;
    private long sequence;
    private long highestFence;
    private volatile boolean closed;
    private volatile String state = "ready";
    private volatile String answerHeaders = "";
    private volatile String leavingHeader = "";
    private final AtomicInteger running = new AtomicInteger();
    private volatile int workMillis;
    private volatile int adapterSlots = 17;
    private volatile boolean unframed;
    private volatile String deadlyPart = "";
    private volatile Runnable whenCrashed = () -> {};
    private volatile long lastReportNanos;

    /** Starts an engine; a model engine holds the model m0 from its start. */
    Engine(Stage stage, String id, String service, String ip, int port, String zone, boolean isModelEngine)
            throws IOException {
        this.stage = stage;
        this.id = id;
        this.service = service;
        this.address = ip + ":" + port;
        this.zone = zone;
        this.isModelEngine = isModelEngine;
        this.server = new Http.Server(ip, port, this::handle);
        stage.record("engine " + id + " of " + service + " starts at " + address);
        Thread beat = new Thread(this::beat, "beat-" + id);
        beat.setDaemon(true);
        beat.start();
    }

    private void beat() {
        while (!closed) {
            describe();
            Stage.sleep(HEARTBEAT_MILLIS);
        }
    }

    /** Adds headers to all answers from now on. */
    void nameInAnswers(String headers) {
        answerHeaders = headers;
    }

    /** Sets how long a request of a plain service takes. */
    void takeFor(int millis) {
        workMillis = millis;
    }

    /** Sets how many adapters fit; an order to load more crashes the engine. */
    Engine withAdapterSlots(int slots) {
        adapterSlots = slots;
        return this;
    }

    /** Lets streams end with their channel, without a length or chunks. */
    Engine withUnframedAnswers() {
        unframed = true;
        return this;
    }

    /** Crashes as soon as an answer begins on a part of a prompt. */
    Engine withDeadlyPart(String part, Runnable action) {
        deadlyPart = part;
        whenCrashed = action;
        return this;
    }

    /** Reports that the engine drains, and says so in all answers; returns when the store has accepted that. */
    long drain() {
        state = "draining";
        leavingHeader = "Server-Leaving: 1\r\n";
        describe();
        long acknowledged = System.nanoTime();
        stage.record("engine " + id + " is draining, the store has acknowledged that");
        return acknowledged;
    }

    /** Writes the engine's description again. */
    synchronized void describe() {
        if (!closed) {
            lastReportNanos = System.nanoTime();
            stage.store.put("keyed.servers", id, description());
        }
    }

    private String description() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state + "\",\"cold_remaining_ms\":0,"
                + "\"born\":" + born + ",\"stage\":\"combined\",\"sequence\":" + sequence + models() + "}";
    }

    private String models() {
        return isModelEngine ? ",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[" + list(adapters, "") + "]}]" : "";
    }

    private static String list(Map<String, Long> held, String prefix) {
        return String.join(
                ",",
                held.entrySet().stream()
                        .map(e -> "\"" + prefix + e.getKey() + "@" + e.getValue() + "\"")
                        .toList());
    }

    /** The engine ends as planned: its description is removed, and what still runs ends with its connections. */
    void leave() throws IOException {
        closed = true;
        stage.store.put("keyed.servers", id, "");
        server.close();
        stage.record("engine " + id + " has left");
    }

    /** The engine crashes for good. Its description stays until three reports are missing. */
    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        stage.record("engine " + id + " crashes");
        Thread expiry = new Thread(
                () -> {
                    Stage.sleep(3 * HEARTBEAT_MILLIS - (System.nanoTime() - lastReportNanos) / 1_000_000);
                    stage.store.put("keyed.servers", id, "");
                    stage.record("the store removes the description of " + id);
                },
                "expiry-" + id);
        expiry.setDaemon(true);
        expiry.start();
    }

    private void handle(Http.Message request, OutputStream out) throws IOException {
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Http.answer(out, 421, "Instance-Id: " + id + "\r\n" + echo(request), "");
        } else if (request.path().equals("/health")) {
            Http.answer(out, 200, "Instance-Id: " + id + "\r\n" + leavingHeader, "");
        } else if (request.path().equals("/report") && isModelEngine) {
            Http.answer(out, 200, "Content-Type: application/json\r\n", report());
        } else if (request.path().equals("/order") && isModelEngine) {
            Http.answer(out, order(request.text()), "", "");
        } else if (request.header("Request-Id").isEmpty()) {
            Http.answer(out, 400, "Not-Executed: 1\r\n" + leavingHeader, "");
        } else if (isModelEngine && !holds(request.header("Model"))) {
            Http.answer(out, 421, "Instance-Id: " + id + "\r\n" + echo(request), "");
        } else {
            running.incrementAndGet();
            try {
                run(request, out);
            } finally {
                running.decrementAndGet();
            }
        }
    }

    private void runUnframed(Http.Message request, String seal, OutputStream out) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\n" + echo(request) + seal
                        + "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        for (int event = 1; event <= 3; event++) {
            out.write(("id: " + event + "\ndata: " + id + "\n\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            Stage.sleep(20);
        }
        throw new IOException("the answer ends with its channel");
    }

    private String echo(Http.Message request) {
        String requestId = request.header("Request-Id");
        return (requestId.isEmpty() ? "" : "Request-Id: " + requestId + "\r\n") + leavingHeader;
    }

    private synchronized boolean holds(String model) {
        return model.equals("m0") || (model.startsWith("m0/") && adapters.containsKey(model.substring(3)));
    }

    private synchronized String report() {
        return "{\"stage\":\"combined\",\"born\":" + born + ",\"busy\":false,\"sequence\":" + sequence
                + ",\"waiting\":0,\"running\":" + running.get() + ",\"kv_used\":0,\"kv_total\":120000,\"handles\":0,\"coming\":["
                + list(coming, "m0/") + "]" + models() + "}";
    }

    private synchronized int order(String body) throws IOException {
        String operation = field(body, "\"operation\":\"([a-z]+)\"");
        String adapter = field(body, "\"adapter\":\"([^\"]+)\"");
        long expected = Long.parseLong(field(body, "\"expected\":([0-9]+)"));
        long fence = Long.parseLong(field(body, "\"fencing_token\":([0-9]+)"));
        String holder = field(body, "\"holder\":\"([^\"]+)\"");
        stage.record("order to " + id + " from " + holder + ", fence " + fence + ": " + operation + " " + adapter);
        if (fence < highestFence) {
            return 412;
        }
        highestFence = fence;
        boolean holdsAlready = adapter.isEmpty() || adapters.containsKey(adapter);
        if (operation.equals("load") && holdsAlready) {
            return 200;
        }
        if (expected != sequence) {
            return 409;
        }
        sequence++;
        if (operation.equals("unload")) {
            adapters.remove(adapter);
            return 200;
        }
        if (!adapter.isEmpty() && !adapters.containsKey(adapter) && adapters.size() + coming.size() >= adapterSlots) {
            stage.record("LIMIT: " + id + " of " + service + " is ordered to load " + adapter + " beyond its "
                    + adapterSlots + " places; it holds " + adapters.keySet() + ", coming " + coming.keySet());
            stage.overloads.incrementAndGet();
            close();
            return 500;
        }
        if (!adapter.isEmpty()) {
            coming.put(adapter, 1L);
            Thread load = new Thread(
                    () -> {
                        Stage.sleep(LOAD_MILLIS);
                        synchronized (this) {
                            coming.remove(adapter);
                            adapters.put(adapter, 1L);
                        }
                    },
                    "load");
            load.setDaemon(true);
            load.start();
        }
        return 202;
    }

    private static String field(String body, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(body);
        return matcher.find() ? matcher.group(1) : "";
    }

    private void run(Http.Message request, OutputStream out) throws IOException {
        String requestId = request.header("Request-Id");
        stage.onRun(requestId, id, service, request);
        String seal = "Server-Seal: seal." + id + "\r\n";
        if (!isModelEngine) {
            Stage.sleep(workMillis);
            Http.answer(out, 200, echo(request) + seal + answerHeaders + "Server-Load: 1,0,6\r\n", "done by " + id);
            return;
        }
        if (!deadlyPart.isEmpty() && request.header("Prompt-Prefix").contains(deadlyPart + ":")) {
            close();
            whenCrashed.run();
            return;
        }
        if (unframed) {
            runUnframed(request, seal, out);
            return;
        }
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n" + echo(request) + seal)
                .append("Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n")
                .append("Transfer-Encoding: chunked\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.UTF_8));
        for (int event = 1; event <= 3; event++) {
            String text = "id: " + event + "\ndata: " + id + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            Stage.sleep(20);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
