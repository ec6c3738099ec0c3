package io.parsleycleat.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The part that all stand-ins share: an HTTP server, the control interface below {@code /control/}, the fault switch
 * and the record of requests.
 *
 * <p>Created by each stand-in; safe to share between threads. Requests below {@code /control/} meet no faults.
 *
 * @param <T> what the stand-in records
 */
public final class StandInServer<T> implements AutoCloseable {
    private static final String CONTROL = "control";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final HttpServer server;
    private final HttpHandler service;
    private final Map<String, HttpHandler> controls;
    private final Recorder<T> records;
    private volatile Faults faults = Faults.NONE;

    /**
     * Starts to listen.
     *
     * @param service answers all requests but those of the control interface
     * @param controls further handlers of the control interface, by the first part of the path below it
     */
    public StandInServer(
            InetSocketAddress address, HttpHandler service, Map<String, HttpHandler> controls, Recorder<T> records) {
        this.service = service;
        this.controls = Map.copyOf(controls);
        this.records = records;
        this.server = new HttpServer(address, this::handle);
    }

    /** Returns the HTTP server. */
    public HttpServer http() {
        return server;
    }

    /** Returns the address that the stand-in listens at. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Returns the base of the stand-in's URLs. */
    public URI uri() {
        return server.uri();
    }

    /** Returns the stand-in's scheduler. */
    public ScheduledExecutorService scheduler() {
        return server.scheduler();
    }

    /** Returns what the stand-in saw. */
    public Recorder<T> records() {
        return records;
    }

    /** Sets how requests are treated from now on. */
    public void setFaults(Faults value) {
        faults = value;
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpExchange exchange) {
        if (exchange.segments().size() >= 2 && exchange.segments().get(0).equals(CONTROL)) {
            control(exchange);
            return;
        }
        Faults current = faults;
        if (current.delayMillis() > 0) {
            scheduler().schedule(() -> serve(exchange), current.delayMillis(), TimeUnit.MILLISECONDS);
        } else {
            serve(exchange);
        }
    }

    private void serve(HttpExchange exchange) {
        switch (faults.mode()) {
            case REFUSE -> exchange.respond(UNAVAILABLE, Json.error("out of service"));
            case HANG -> {
                // The caller is left without an answer.
            }
            case CUT -> exchange.cut();
            default -> service.handle(exchange);
        }
    }

    private void control(HttpExchange exchange) {
        String what = exchange.segments().get(1);
        switch (what) {
            case "records" -> {
                ObjectNode answer = Json.object().put("next", records.next());
                answer.set("records", Json.of(records.from(exchange.queryNumber("from", 0))));
                exchange.respond(OK, answer);
            }
            case "faults" -> changeFaults(exchange);
            default -> {
                HttpHandler handler = controls.get(what);
                if (handler == null) {
                    exchange.respond(NOT_FOUND, Json.error("no control " + what));
                } else {
                    handler.handle(exchange);
                }
            }
        }
    }

    private void changeFaults(HttpExchange exchange) {
        JsonNode body = exchange.bodyJson();
        FaultMode.ofLabel(body.path("mode").asText(FaultMode.NONE.label()))
                .ifPresentOrElse(
                        mode -> {
                            faults = new Faults(
                                    mode, Math.max(0, body.path("delayMillis").asLong()));
                            exchange.respond(OK, Json.of(faults));
                        },
                        () -> exchange.respond(BAD_REQUEST, Json.error("mode is none, refuse, hang or cut")));
    }
}
