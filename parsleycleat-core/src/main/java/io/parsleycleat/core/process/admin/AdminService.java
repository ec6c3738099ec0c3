package io.parsleycleat.core.process.admin;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.connection.caller.CallerService;
import io.parsleycleat.core.connection.caller.ErrorAnswer;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Answers {@code /ready}, {@code /health} and {@code /metrics}.
 *
 * <p>One a process; safe to share between threads.
 */
public final class AdminService implements CallerService {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final double MEDIAN = 0.5;

    private final MetricRegistry metrics;
    private final Supplier<Readiness> readiness;

    /** Creates a service that reports the given metrics and readiness. */
    public AdminService(MetricRegistry metrics, Supplier<Readiness> readiness) {
        this.metrics = metrics;
        this.readiness = readiness;
    }

    @Override
    public void handle(CallerRequest request, CallerExchange exchange) {
        switch (request.path()) {
            case "/ready" -> sendReadiness(exchange);
            case "/health" -> send(
                    exchange, STATUS_OK, MAPPER.createObjectNode().put("alive", true));
            case "/metrics" -> send(exchange, STATUS_OK, metricsJson());
            default -> ErrorAnswer.send(exchange, UUID.randomUUID().toString(), Refusal.of(ResultCode.ROUTE_UNKNOWN));
        }
    }

    private void sendReadiness(CallerExchange exchange) {
        Readiness now = readiness.get();
        ObjectNode body = MAPPER.createObjectNode();
        body.put("ready", now.ready());
        body.put("reason", now.reason());
        send(exchange, now.ready() ? STATUS_OK : STATUS_UNAVAILABLE, body);
    }

    private ObjectNode metricsJson() {
        ObjectNode root = MAPPER.createObjectNode();
        metrics.getMetrics().forEach((name, metric) -> add(root, name, metric));
        return root;
    }

    private static void add(ObjectNode root, String name, Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            root.put(name, String.valueOf(gauge.getValue()));
        } else if (metric instanceof Sampling sampling) {
            ObjectNode node = root.putObject(name);
            Snapshot snapshot = sampling.getSnapshot();
            if (metric instanceof Counting counting) {
                node.put("count", counting.getCount());
            }
            node.put("p50_millis", millis(snapshot.getValue(MEDIAN)));
            node.put("p95_millis", millis(snapshot.get95thPercentile()));
            node.put("p99_millis", millis(snapshot.get99thPercentile()));
        } else if (metric instanceof Counting counting) {
            root.put(name, counting.getCount());
        }
    }

    private static double millis(double nanos) {
        return nanos / TimeUnit.MILLISECONDS.toNanos(1);
    }

    private static void send(CallerExchange exchange, int status, ObjectNode body) {
        exchange.respond(status, List.of(ErrorAnswer.JSON_CONTENT), ByteString.copyFromUtf8(body.toString()));
    }
}
