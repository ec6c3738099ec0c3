package io.parsleycleat.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import io.parsleycleat.standin.fleet.StandInNode;
import io.parsleycleat.standin.history.HistoryEvent.UpstreamRun;
import io.parsleycleat.standin.http.Json;
import io.parsleycleat.standin.upstream.EngineTokens;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/** What the stand-ins of the upstreams saw since a point, as events of a history. */
final class UpstreamRecords {
    private final Deployment deployment;
    private final Map<StandInNode, Long> from = new HashMap<>();

    UpstreamRecords(Deployment deployment) {
        this.deployment = deployment;
        Stream.concat(deployment.services().stream(), deployment.engines().stream())
                .forEach(node ->
                        from.put(node, node.read("records?from=0").path("next").asLong()));
    }

    /** Returns the runs that had an effect. */
    List<UpstreamRun> runs() {
        List<UpstreamRun> runs = new ArrayList<>();
        deployment.services().forEach(node -> records(node)
                .filter(r -> r.path("value").path("run").asLong() > 0)
                .forEach(r -> runs.add(serviceRun(node, r))));
        deployment.engines().forEach(node -> records(node)
                .filter(r -> r.path("value").path("kind").asText().equals("RUN"))
                .forEach(r -> runs.add(engineRun(node, r))));
        return runs;
    }

    /** Returns what engines saw of a kind, such as VIOLATION or CRASH. */
    List<String> engineEvents(String kind) {
        return deployment.engines().stream()
                .flatMap(this::records)
                .map(r -> r.path("value"))
                .filter(r -> r.path("kind").asText().equals(kind))
                .map(r -> r.path("model").asText() + " " + r.path("detail").asText())
                .toList();
    }

    private Stream<JsonNode> records(StandInNode node) {
        JsonNode records =
                node.read("records?from=" + from.getOrDefault(node, 0L)).path("records");
        return StreamSupport.stream(records.spliterator(), false);
    }

    private UpstreamRun serviceRun(StandInNode node, JsonNode entry) {
        long at = entry.path("timeMillis").asLong();
        JsonNode run = entry.path("value");
        String receipt = Json.object()
                .put("run", run.path("run").asLong())
                .put("method", run.path("method").asText())
                .put("uri", run.path("uri").asText())
                .put("idempotencyKey", header(run, "Idempotency-Key"))
                .toString();
        return new UpstreamRun(
                at,
                at,
                node.process().name(),
                header(run, "x-attempt"),
                deployment.service(),
                "",
                0,
                receipt,
                List.of(run.toString()));
    }

    private static UpstreamRun engineRun(StandInNode node, JsonNode entry) {
        long at = entry.path("timeMillis").asLong();
        JsonNode run = entry.path("value");
        JsonNode body = Json.parse(run.path("body").asText());
        String model = run.path("model").asText();
        String prompt = EngineTokens.prompt(body.path("request"));
        int count = EngineTokens.count(model, prompt, body.path("maxTokens").asInt());
        int split = model.lastIndexOf('@');
        return new UpstreamRun(
                at,
                at,
                node.process().name(),
                prompt.substring(0, Math.max(0, prompt.indexOf(' '))),
                model.substring(0, split),
                model.substring(split + 1),
                count,
                EngineTokens.answer(model, prompt, count),
                List.of(run.toString()));
    }

    private static String header(JsonNode run, String name) {
        return StreamSupport.stream(run.path("headers").spliterator(), false)
                .filter(h -> h.path("name").asText().equalsIgnoreCase(name))
                .map(h -> h.path("value").asText())
                .findFirst()
                .orElse("");
    }
}
