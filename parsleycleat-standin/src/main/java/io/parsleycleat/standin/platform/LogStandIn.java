package io.parsleycleat.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.standin.StandIn;
import io.parsleycleat.standin.http.HttpExchange;
import io.parsleycleat.standin.http.Json;
import io.parsleycleat.standin.http.Recorder;
import io.parsleycleat.standin.http.StandInServer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.StreamSupport;

/**
 * Takes the place of the platform's append-only log, as docs/PLATFORM.md describes it.
 *
 * <p>Created by the command line or in-process by tests; safe to share between threads.
 */
public final class LogStandIn implements StandIn {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int TOO_LARGE = 413;
    private static final int TOO_MANY = 429;
    private static final int DEFAULT_PAGE = 100;
    private static final int MAX_PAGE = 1_000;
    private static final int MAX_RECORDS = 1_000;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final long MAX_PACING_NANOS = Duration.ofMillis(1_500).toNanos();
    private static final double BURST_SECONDS = 0.1;

    private final LogOptions options;
    private final TimeSource time;
    private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
    private final RateLimiter limiter;
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final StandInServer<Append> server;

    /** Starts a log. */
    public LogStandIn(InetSocketAddress address, LogOptions options, TimeSource time) {
        this.options = options;
        this.time = time;
        this.limiter = new RateLimiter(
                time, options.appendsPerSecond(), Math.max(1, options.appendsPerSecond() * BURST_SECONDS));
        this.server = new StandInServer<>(
                address,
                this::serve,
                Map.of(
                        "lose-answers", this::controlLoseAnswers,
                        "trim", this::controlTrim,
                        "rate", this::controlRate,
                        "streams", this::controlStreams),
                new Recorder<>(Recorder.DEFAULT_LIMIT));
    }

    // Control

    /** Lets the next appends take effect and closes their connections in place of an answer. */
    public void loseAnswers(int count) {
        answersToLose.set(count);
    }

    /** Drops all records of a stream before an offset. */
    public void trim(String stream, long offset) {
        stream(stream).trim(offset);
    }

    /** Sets the appends taken a second. */
    public void setAppendsPerSecond(double rate) {
        limiter.setRate(rate);
    }

    /** Returns the appends seen, in order. */
    public Recorder<Append> appends() {
        return server.records();
    }

    /** Returns the offset that the next record of a stream gets. */
    public long endOffset(String stream) {
        return stream(stream).read(0, 0).endOffset();
    }

    @Override
    public StandInServer<Append> server() {
        return server;
    }

    // Requests

    private void serve(HttpExchange exchange) {
        List<String> path = exchange.segments();
        boolean known =
                path.size() == 3 && path.get(0).equals("streams") && path.get(2).equals("records");
        if (known && exchange.method().equals("POST")) {
            append(exchange, path.get(1));
        } else if (known && exchange.method().equals("GET")) {
            read(exchange, path.get(1));
        } else {
            exchange.respond(NOT_FOUND, Json.error("no such resource"));
        }
    }

    private void append(HttpExchange exchange, String stream) {
        List<String> values = StreamSupport.stream(
                        exchange.bodyJson().path("records").spliterator(), false)
                .map(JsonNode::asText)
                .toList();
        if (values.isEmpty() || values.size() > MAX_RECORDS || !values.stream().allMatch(LogStandIn::isBase64)) {
            exchange.respond(BAD_REQUEST, Json.error("records must be 1 to " + MAX_RECORDS + " base64 texts"));
            return;
        }
        if (values.stream().anyMatch(v -> decodedLength(v) > options.maxRecordBytes())) {
            exchange.respond(TOO_LARGE, Json.error("a record is larger than " + options.maxRecordBytes()));
            return;
        }
        long pause = limiter.take(MAX_PACING_NANOS);
        if (pause < 0) {
            exchange.respondRetryAfter(TOO_MANY, 1, Json.error("too many appends"));
        } else if (pause == 0) {
            store(exchange, stream, values);
        } else {
            server.scheduler().schedule(() -> store(exchange, stream, values), pause, TimeUnit.NANOSECONDS);
        }
    }

    private void store(HttpExchange exchange, String name, List<String> values) {
        LogStream stream = stream(name);
        long first = stream.append(values, time.wallMillis());
        boolean lost = answersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
        server.records().add(new Append(name, first, values.size(), lost));
        retain(stream);
        stream.takeWaiters().forEach(Runnable::run);
        if (lost) {
            exchange.cut();
        } else {
            exchange.respond(OK, Json.object().put("firstOffset", first));
        }
    }

    private void read(HttpExchange exchange, String name) {
        LogStream stream = stream(name);
        retain(stream);
        long from = exchange.queryNumber("from", 0);
        int limit = (int) Math.max(1, Math.min(MAX_PAGE, exchange.queryNumber("limit", DEFAULT_PAGE)));
        long wait = Math.min(MAX_WAIT_MILLIS, exchange.queryNumber("waitMillis", 0));
        AtomicBoolean answered = new AtomicBoolean();
        Runnable answer = () -> {
            if (answered.compareAndSet(false, true)) {
                respondPage(exchange, from, stream.read(from, limit));
            }
        };
        if (wait <= 0 || !stream.awaitRecord(from, answer)) {
            answer.run();
            return;
        }
        exchange.onClose(() -> stream.forget(answer));
        server.scheduler()
                .schedule(
                        () -> {
                            stream.forget(answer);
                            answer.run();
                        },
                        wait,
                        TimeUnit.MILLISECONDS);
    }

    private static void respondPage(HttpExchange exchange, long from, LogStream.Page page) {
        exchange.respond(from < page.earliestOffset() ? GONE : OK, Json.of(page));
    }

    // Control interface

    private void controlLoseAnswers(HttpExchange exchange) {
        loseAnswers(exchange.bodyJson().path("count").asInt(1));
        exchange.respond(OK, Json.object());
    }

    private void controlTrim(HttpExchange exchange) {
        JsonNode body = exchange.bodyJson();
        trim(body.path("stream").asText(), body.path("toOffset").asLong());
        exchange.respond(OK, Json.object());
    }

    private void controlRate(HttpExchange exchange) {
        double rate = exchange.bodyJson().path("appendsPerSecond").asDouble();
        if (rate <= 0) {
            exchange.respond(BAD_REQUEST, Json.error("appendsPerSecond must be positive"));
            return;
        }
        setAppendsPerSecond(rate);
        exchange.respond(OK, Json.object());
    }

    private void controlStreams(HttpExchange exchange) {
        ObjectNode answer = Json.object();
        new TreeMap<>(streams).forEach((name, stream) -> {
            LogStream.Page bounds = stream.read(0, 0);
            answer.putObject(name)
                    .put("earliestOffset", bounds.earliestOffset())
                    .put("endOffset", bounds.endOffset());
        });
        exchange.respond(OK, answer);
    }

    // Internals

    private LogStream stream(String name) {
        return streams.computeIfAbsent(name, n -> new LogStream());
    }

    private void retain(LogStream stream) {
        stream.retain(options.retentionRecords(), time.wallMillis() - options.retentionMillis());
    }

    private static boolean isBase64(String value) {
        try {
            Base64.getDecoder().decode(value);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static long decodedLength(String value) {
        return value.length() * 3L / 4;
    }

    /** One append that took effect, and whether its answer was withheld. */
    public record Append(String stream, long firstOffset, int count, boolean answerLost) {}
}
