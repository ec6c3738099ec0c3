package io.parsleycleat.standin.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.standin.StandIn;
import io.parsleycleat.standin.http.HttpExchange;
import io.parsleycleat.standin.http.Json;
import io.parsleycleat.standin.http.Recorder;
import io.parsleycleat.standin.http.StandInServer;
import io.parsleycleat.standin.upstream.ServiceBehaviour.Failure;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * Takes the place of a plain service, such as an order app. Every request but GET and HEAD has an effect, which is
 * counted, and is answered with a receipt.
 *
 * <p>Created by the command line or in-process by tests; safe to share between threads.
 */
public final class PlainServiceStandIn implements StandIn {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int FAILED = 500;
    private static final int UNAVAILABLE = 503;
    private static final int CRASH_EXIT_CODE = 134;
    private static final int BODY_PARTS = 10;
    private static final String JSON = "application/json";

    private final String crashMarker;
    private final AtomicLong effects = new AtomicLong();
    private final StandInServer<ServiceRun> server;
    private final Object lock = new Object();
    private ServiceBehaviour behaviour = ServiceBehaviour.NORMAL;

    /**
     * Starts a service that saw nothing yet.
     *
     * @param crashMarker text in a request that ends the process, or an empty text
     */
    public PlainServiceStandIn(InetSocketAddress address, String crashMarker, int recordLimit) {
        this.crashMarker = crashMarker;
        this.server = new StandInServer<>(
                address, this::serve, Map.of("behaviour", this::controlBehaviour), new Recorder<>(recordLimit));
    }

    // Control

    /** Sets what is done with the next requests. */
    public void setBehaviour(ServiceBehaviour value) {
        synchronized (lock) {
            behaviour = value;
        }
    }

    /** Returns the requests seen, in order. */
    public Recorder<ServiceRun> runs() {
        return server.records();
    }

    /** Returns how many requests had an effect. */
    public long effects() {
        return effects.get();
    }

    @Override
    public StandInServer<ServiceRun> server() {
        return server;
    }

    // Requests

    private void serve(HttpExchange exchange) {
        if (exchange.path().equals("/health")) {
            exchange.respond(OK, Json.object());
            return;
        }
        if (!crashMarker.isEmpty() && exchange.bodyText().contains(crashMarker)) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        ServiceBehaviour current = takeBehaviour();
        if (current.delayMillis() > 0) {
            server.scheduler().schedule(() -> perform(exchange, current), current.delayMillis(), TimeUnit.MILLISECONDS);
        } else {
            perform(exchange, current);
        }
    }

    /** Returns the behaviour for one request and counts it if it fails. */
    private ServiceBehaviour takeBehaviour() {
        synchronized (lock) {
            ServiceBehaviour current = behaviour;
            if (current.failure() != Failure.NONE) {
                Failure next = current.times() > 1 ? current.failure() : Failure.NONE;
                behaviour = new ServiceBehaviour(
                        next,
                        Math.max(0, current.times() - 1),
                        current.delayMillis(),
                        current.bodyBytes(),
                        current.bodyMillis());
            }
            return current;
        }
    }

    private void perform(HttpExchange exchange, ServiceBehaviour current) {
        boolean read = exchange.method().equals("GET") || exchange.method().equals("HEAD");
        boolean effective = !read && !current.failure().isBeforeEffect();
        long run = effective ? effects.incrementAndGet() : 0;
        server.records()
                .add(new ServiceRun(run, exchange.method(), exchange.uri(), exchange.headers(), exchange.bodyText()));
        switch (current.failure()) {
            case NONE, CUT_IN_BODY -> answer(exchange, run, current);
            case STATUS_BEFORE_EFFECT -> exchange.respond(UNAVAILABLE, Json.error("not done"));
            case STATUS_AFTER_EFFECT -> exchange.respond(FAILED, Json.error("failed"));
            default -> exchange.cut();
        }
    }

    private void answer(HttpExchange exchange, long run, ServiceBehaviour current) {
        byte[] body = receipt(exchange, run, current.bodyBytes());
        if (current.failure() == Failure.CUT_IN_BODY) {
            exchange.begin(OK, JSON, body.length);
            exchange.write(Arrays.copyOf(body, body.length / 2));
            exchange.cut();
        } else if (current.bodyMillis() > 0) {
            exchange.begin(OK, JSON, body.length);
            writeSlowly(exchange, body, current.bodyMillis());
        } else {
            exchange.respond(OK, JSON, body);
        }
    }

    private static byte[] receipt(HttpExchange exchange, long run, int size) {
        ObjectNode receipt = Json.object()
                .put("run", run)
                .put("method", exchange.method())
                .put("uri", exchange.uri())
                .put("idempotencyKey", exchange.header("Idempotency-Key"));
        int missing = size - receipt.toString().length();
        if (missing > 0) {
            receipt.put("padding", "x".repeat(missing));
        }
        return receipt.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void writeSlowly(HttpExchange exchange, byte[] body, long millis) {
        List<byte[]> parts = IntStream.range(0, BODY_PARTS)
                .mapToObj(
                        i -> Arrays.copyOfRange(body, i * body.length / BODY_PARTS, (i + 1) * body.length / BODY_PARTS))
                .toList();
        writePart(exchange, parts, 0, millis / BODY_PARTS);
    }

    private void writePart(HttpExchange exchange, List<byte[]> parts, int index, long gapMillis) {
        if (index == parts.size()) {
            exchange.end();
            return;
        }
        exchange.write(parts.get(index));
        server.scheduler()
                .schedule(() -> writePart(exchange, parts, index + 1, gapMillis), gapMillis, TimeUnit.MILLISECONDS);
    }

    // Control interface

    private void controlBehaviour(HttpExchange exchange) {
        ServiceBehaviour.parse(exchange.bodyJson())
                .ifPresentOrElse(
                        value -> {
                            setBehaviour(value);
                            exchange.respond(OK, Json.of(value));
                        },
                        () -> exchange.respond(BAD_REQUEST, Json.error("no such failure")));
    }
}
