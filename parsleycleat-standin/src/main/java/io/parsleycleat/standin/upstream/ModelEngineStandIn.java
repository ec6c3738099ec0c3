package io.parsleycleat.standin.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.standin.StandIn;
import io.parsleycleat.standin.http.HttpExchange;
import io.parsleycleat.standin.http.Json;
import io.parsleycleat.standin.http.Recorder;
import io.parsleycleat.standin.http.StandInServer;
import io.parsleycleat.standin.upstream.EngineEvent.Kind;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Takes the place of a model engine, as docs/UPSTREAMS.md describes it: adapter slots, a continuous batch, a prefix
 * cache, and the faults of real engines.
 *
 * <p>Created by the command line or in-process by tests; safe to share between threads.
 */
public final class ModelEngineStandIn implements StandIn {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int CRASH_EXIT_CODE = 134;
    private static final int DEFAULT_MAX_TOKENS = 64;

    private final EngineOptions options;
    private final TimeSource time;
    private final @Nullable WeightLoader weights;
    private final StandInServer<EngineEvent> server;
    private final CacheEventLog cacheEvents;
    private final BatchScheduler scheduler;
    private final AdapterSlots slots;
    private final Object lock = new Object();
    private volatile String incarnation = UUID.randomUUID().toString();
    private String role = "mixed";
    private long fencingNumber;
    private ObjectNode report = Json.object();
    private long reportedNanos;

    /** Starts an engine that holds no adapter. */
    public ModelEngineStandIn(InetSocketAddress address, EngineOptions options, int recordLimit, TimeSource time) {
        this.options = options;
        this.time = time;
        this.weights = options.weightStore() == null ? null : new WeightLoader(options.weightStore());
        this.cacheEvents = new CacheEventLog(time, options.eventLag().toMillis());
        this.slots = new AdapterSlots(options.slots(), this::fetch);
        this.server = new StandInServer<>(
                address,
                this::serve,
                Map.of(
                        "crash", this::controlCrash,
                        "hang", this::controlHang,
                        "slow", this::controlSlow,
                        "statistics", e -> e.respond(OK, Json.of(statistics()))),
                new Recorder<>(recordLimit));
        this.scheduler = new BatchScheduler(options, server.scheduler(), this::crash, cacheEvents::add);
        synchronized (lock) {
            renewReport();
        }
    }

    // Control

    /** Loses runs, adapters and cache, closes all connections, and comes back as a new incarnation. */
    public void crash() {
        record(Kind.CRASH, "", "", "");
        if (options.hardCrash()) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        server.http().setRefusing(true);
        server.http().dropConnections();
        scheduler.reset();
        slots.clear();
        synchronized (lock) {
            incarnation = UUID.randomUUID().toString();
            fencingNumber = 0;
            renewReport();
        }
        server.scheduler()
                .schedule(
                        () -> server.http().setRefusing(false),
                        options.restartTime().toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    /** Stops or continues to generate tokens; requests are still taken. */
    public void setHanging(boolean hanging) {
        scheduler.setHanging(hanging);
    }

    /** Makes every step slower by a factor. */
    public void setSlowness(double factor) {
        scheduler.setSlowness(factor);
    }

    /** Returns what the engine saw, in order. */
    public Recorder<EngineEvent> events() {
        return server.records();
    }

    /** Returns the counts of the engine's work. */
    public EngineStatistics statistics() {
        return scheduler.statistics();
    }

    /** Returns the adapters that can run, {@code adapter@version} each. */
    public Set<String> loaded() {
        return slots.loaded();
    }

    /** Returns the id of the engine's present life. */
    public String incarnation() {
        return incarnation;
    }

    @Override
    public StandInServer<EngineEvent> server() {
        return server;
    }

    @Override
    public void close() {
        server.close();
        Optional.ofNullable(weights).ifPresent(WeightLoader::close);
    }

    // Requests

    private void serve(HttpExchange exchange) {
        List<String> path = exchange.segments();
        String resource = exchange.method() + " " + String.join("/", path);
        switch (resource) {
            case "GET v1/state" -> exchange.respond(OK, state());
            case "POST v1/adapters/load" -> order(exchange, Kind.LOAD);
            case "POST v1/adapters/unload" -> order(exchange, Kind.UNLOAD);
            case "POST v1/role" -> order(exchange, null);
            case "GET v1/adapters" -> exchange.respond(OK, adapters(slots.loaded()));
            case "GET v1/cache-events" -> exchange.respond(OK, cacheEvents(exchange));
            case "POST v1/runs" -> run(exchange);
            default -> {
                if (path.size() == 3 && path.get(0).equals("v1") && path.get(1).equals("runs")) {
                    existingRun(exchange, path.get(2));
                } else {
                    exchange.respond(NOT_FOUND, Json.error("no such resource"));
                }
            }
        }
    }

    private ObjectNode state() {
        synchronized (lock) {
            if (time.monotonicNanos() - reportedNanos >= options.reportLag().toNanos()) {
                renewReport();
            }
            return report;
        }
    }

    private ObjectNode cacheEvents(HttpExchange exchange) {
        ObjectNode answer = Json.object();
        answer.set("events", Json.of(cacheEvents.from(exchange.queryNumber("from", 0))));
        return answer;
    }

    // Orders

    private void order(HttpExchange exchange, @Nullable Kind kind) {
        JsonNode body = exchange.bodyJson();
        String model =
                body.path("adapter").asText() + "@" + body.path("version").asText();
        if (!passFence(body.path("fencingNumber").asLong(), model)) {
            exchange.respond(CONFLICT, Json.error("the fencing number is old"));
            return;
        }
        if (kind == Kind.LOAD) {
            load(exchange, model);
        } else if (kind == Kind.UNLOAD) {
            unload(exchange, model);
        } else {
            synchronized (lock) {
                role = body.path("role").asText(role);
            }
            exchange.respond(OK, Json.object());
        }
    }

    private boolean passFence(long number, String model) {
        boolean old;
        synchronized (lock) {
            old = number < fencingNumber;
            fencingNumber = Math.max(fencingNumber, number);
        }
        if (old && options.fencingChecked()) {
            record(Kind.ORDER_FENCED, "", model, "fencing number " + number);
            return false;
        }
        if (old) {
            record(Kind.VIOLATION, "", model, "obeyed an order with the old fencing number " + number);
        }
        return true;
    }

    private void load(HttpExchange exchange, String model) {
        record(Kind.LOAD, "", model, "");
        slots.load(model).thenAccept(loaded -> {
            record(loaded ? Kind.LOADED : Kind.LOAD_FAILED, "", model, "");
            if (loaded) {
                exchange.respond(OK, Json.object());
            } else {
                exchange.respond(UNAVAILABLE, Json.error("no free slot, or the weights could not be fetched"));
            }
        });
    }

    private void unload(HttpExchange exchange, String model) {
        record(Kind.UNLOAD, "", model, "");
        slots.unload(model);
        long broken = scheduler.breakOff(model);
        if (broken > 0) {
            record(Kind.VIOLATION, "", model, "unloaded while " + broken + " runs used it");
        }
        exchange.respond(OK, Json.object());
    }

    private CompletableFuture<Void> fetch(String model) {
        if (weights != null) {
            return weights.fetch(model);
        }
        CompletableFuture<Void> loaded = new CompletableFuture<>();
        server.scheduler()
                .schedule(() -> loaded.complete(null), options.loadTime().toNanos(), TimeUnit.NANOSECONDS);
        return loaded;
    }

    // Runs

    private void run(HttpExchange exchange) {
        JsonNode body = exchange.bodyJson();
        String runId = body.path("runId").asText();
        String model = body.path("model").asText();
        if (runId.isEmpty() || !body.path("request").isObject()) {
            exchange.respond(BAD_REQUEST, Json.error("runId and request are needed"));
            return;
        }
        if (scheduler.isKnown(runId)) {
            record(Kind.VIOLATION, runId, model, "the run was sent twice");
            exchange.respond(CONFLICT, Json.error("the run is known"));
            return;
        }
        if (!slots.isLoaded(model)) {
            record(Kind.RUN_REFUSED, runId, model, "not loaded");
            exchange.respond(CONFLICT, Json.error("the adapter is not loaded"));
            return;
        }
        Run run = new Run(
                runId,
                model,
                EngineTokens.prompt(body.path("request")),
                body.path("priority").asInt(),
                exchange.bodyText().contains(options.crashMarker()),
                body.path("maxTokens").asInt(DEFAULT_MAX_TOKENS),
                body.path("request").path("ignore_eos").asBoolean());
        if (scheduler.submit(run, new SseListener(exchange))) {
            server.records()
                    .add(new EngineEvent(
                            Kind.RUN, incarnation(), runId, model, "", exchange.headers(), exchange.bodyText()));
        } else {
            record(Kind.RUN_REFUSED, runId, model, "too many wait");
            exchange.respond(UNAVAILABLE, Json.error("too many runs wait"));
        }
    }

    private void existingRun(HttpExchange exchange, String runId) {
        if (exchange.method().equals("DELETE")) {
            boolean cancelled = scheduler.cancel(runId);
            record(Kind.CANCEL, runId, "", cancelled ? "" : "not running");
            exchange.respond(OK, Json.object().put("cancelled", cancelled));
            return;
        }
        record(Kind.RESUME, runId, "", exchange.uri());
        if (!scheduler.resume(runId, exchange.queryNumber("from", 0), new SseListener(exchange))) {
            exchange.respond(NOT_FOUND, Json.error("no such run"));
        }
    }

    // Control interface

    private void controlCrash(HttpExchange exchange) {
        exchange.respond(OK, Json.object());
        server.scheduler().execute(this::crash);
    }

    private void controlHang(HttpExchange exchange) {
        setHanging(exchange.bodyJson().path("hanging").asBoolean(true));
        exchange.respond(OK, Json.object());
    }

    private void controlSlow(HttpExchange exchange) {
        setSlowness(Math.max(0, exchange.bodyJson().path("factor").asDouble(1)));
        exchange.respond(OK, Json.object());
    }

    // Internals

    private void renewReport() {
        reportedNanos = time.monotonicNanos();
        report = adapters(slots.loaded())
                .put("incarnation", incarnation)
                .put("baseModel", options.baseModel())
                .put("role", role)
                .put("slots", options.slots())
                .put("batchSize", options.batchSize())
                .put("running", scheduler.running())
                .put("waiting", scheduler.waiting());
    }

    private static ObjectNode adapters(Set<String> models) {
        ObjectNode answer = Json.object();
        ArrayNode loaded = answer.putArray("loaded");
        models.stream().sorted().forEach(m -> loaded.addObject()
                .put("adapter", m.substring(0, m.lastIndexOf('@')))
                .put("version", m.substring(m.lastIndexOf('@') + 1)));
        return answer;
    }

    private void record(Kind kind, String runId, String model, String detail) {
        server.records().add(new EngineEvent(kind, incarnation(), runId, model, detail, List.of(), ""));
    }
}
