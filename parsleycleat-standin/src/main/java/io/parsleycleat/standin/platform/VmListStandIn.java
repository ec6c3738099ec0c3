package io.parsleycleat.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.standin.StandIn;
import io.parsleycleat.standin.http.HttpExchange;
import io.parsleycleat.standin.http.Json;
import io.parsleycleat.standin.http.Recorder;
import io.parsleycleat.standin.http.StandInServer;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Takes the place of the platform's list of VMs, as docs/PLATFORM.md describes it. A change shows after a lag.
 *
 * <p>Created by the command line or in-process by tests; safe to share between threads.
 */
public final class VmListStandIn implements StandIn {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final TimeSource time;
    private final Map<String, Vm> visible = new TreeMap<>();
    private final Deque<Change> pending = new ArrayDeque<>();
    private final StandInServer<Row> server;
    private long lagMillis;

    /** Starts an empty list whose changes show after a lag. */
    public VmListStandIn(InetSocketAddress address, long lagMillis, TimeSource time) {
        this.time = time;
        this.lagMillis = lagMillis;
        this.server = new StandInServer<>(
                address,
                this::serve,
                Map.of("vms", this::controlVms, "lag", this::controlLag),
                new Recorder<>(Recorder.DEFAULT_LIMIT));
    }

    // Control

    /** Adds or replaces a row. */
    public void put(Vm vm) {
        change(vm.name(), vm);
    }

    /** Removes a row. */
    public void remove(String name) {
        change(name, null);
    }

    /** Sets the lag of later changes. */
    public synchronized void setLagMillis(long millis) {
        lagMillis = millis;
    }

    @Override
    public StandInServer<Row> server() {
        return server;
    }

    // Requests

    private void serve(HttpExchange exchange) {
        if (!exchange.path().equals("/vms") || !exchange.method().equals("GET")) {
            exchange.respond(NOT_FOUND, Json.error("no such resource"));
            return;
        }
        exchange.respondTagged(list());
    }

    private synchronized ObjectNode list() {
        long now = time.wallMillis();
        while (!pending.isEmpty() && pending.getFirst().visibleAtMillis() <= now) {
            apply(pending.removeFirst());
        }
        ObjectNode answer = Json.object();
        answer.set("vms", Json.of(visible.values().stream().map(Row::of).toList()));
        return answer;
    }

    private synchronized void change(String name, @Nullable Vm vm) {
        pending.addLast(new Change(time.wallMillis() + lagMillis, name, vm));
    }

    private void apply(Change change) {
        if (change.vm() == null) {
            visible.remove(change.name());
        } else {
            visible.put(change.name(), change.vm());
        }
    }

    // Control interface

    private void controlVms(HttpExchange exchange) {
        if (exchange.segments().size() != 3) {
            exchange.respond(NOT_FOUND, Json.error("name a VM"));
            return;
        }
        String name = exchange.segments().get(2);
        if (exchange.method().equals("DELETE")) {
            remove(name);
            exchange.respond(OK, Json.object());
            return;
        }
        Optional<Vm> vm = parse(name, exchange.bodyJson());
        vm.ifPresentOrElse(
                v -> {
                    put(v);
                    server.records().add(Row.of(v));
                    exchange.respond(OK, Json.object());
                },
                () -> exchange.respond(BAD_REQUEST, Json.error("role is entry or side")));
    }

    private void controlLag(HttpExchange exchange) {
        setLagMillis(Math.max(0, exchange.bodyJson().path("millis").asLong()));
        exchange.respond(OK, Json.object());
    }

    private static Optional<Vm> parse(String name, JsonNode row) {
        return ProcessRole.ofLabel(row.path("role").asText())
                .map(role -> new Vm(
                        name,
                        role,
                        row.path("peerAddress").asText(),
                        row.path("dataCentre").asText(),
                        row.path("region").asText(),
                        row.path("upstreamId").asText(),
                        row.path("leaving").asBoolean()));
    }

    /** A change that is not visible yet; without a VM it removes the row. */
    private record Change(long visibleAtMillis, String name, @Nullable Vm vm) {}

    /** A row as the list answers it. */
    public record Row(
            String name,
            String role,
            String peerAddress,
            String dataCentre,
            String region,
            String upstreamId,
            boolean leaving) {
        static Row of(Vm vm) {
            return new Row(
                    vm.name(),
                    vm.role().label(),
                    vm.peerAddress(),
                    vm.dataCentre(),
                    vm.region(),
                    vm.upstreamId(),
                    vm.leaving());
        }
    }
}
