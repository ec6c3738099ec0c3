package io.parsleycleat.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.parsleycleat.standin.fleet.StandInNode;
import io.parsleycleat.standin.http.Json;
import io.parsleycleat.standin.upstream.EngineTokens;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * What the upstreams saw of a run, read from their records after it.
 *
 * <p>Created once a run; used by one thread.
 */
final class Observations {
    private static final String KEY_PREFIX = "plc-";

    private final Map<String, List<EngineRun>> runsByRequest = new HashMap<>();
    private final Map<String, List<Long>> loadsByEngineAndModel = new HashMap<>();
    private final Map<String, Integer> effectsByOrder = new HashMap<>();
    private int violations;
    private int keysSeen;
    private int loads;
    private int loadFailures;
    private int runsRefused;

    /** Reads the records of all upstreams. */
    static Observations read(List<StandInNode> engines, List<StandInNode> services) {
        Observations observations = new Observations();
        engines.forEach(e ->
                records(e).forEach(r -> observations.addEngineEvent(e.process().name(), r)));
        services.forEach(s -> records(s).forEach(observations::addServiceRun));
        return observations;
    }

    /** Returns the last run of a request on an engine. */
    Optional<EngineRun> run(Arrival arrival) {
        List<EngineRun> runs = runsByRequest.getOrDefault(requestKey(arrival.model(), arrival.prompt()), List.of());
        return runs.isEmpty() ? Optional.empty() : Optional.of(runs.get(runs.size() - 1));
    }

    /** Returns when the adapter of a run became loaded after a time and before the run, if it did. */
    Optional<Long> loadedBetween(EngineRun run, String model, long afterMillis) {
        return loadsByEngineAndModel.getOrDefault(run.engine() + " " + model, List.of()).stream()
                .filter(t -> t > afterMillis && t <= run.atMillis())
                .max(Long::compare);
    }

    /** Returns how often an order took effect. */
    int effects(Arrival arrival) {
        return effectsByOrder.getOrDefault("order " + arrival.number(), 0);
    }

    int violations() {
        return violations;
    }

    /** Returns how many requests to upstreams carried something of a key's form. */
    int keysSeen() {
        return keysSeen;
    }

    int loads() {
        return loads;
    }

    int loadFailures() {
        return loadFailures;
    }

    int runsRefused() {
        return runsRefused;
    }

    /** Returns the model and text that tell a request from all others. */
    static String requestKey(String model, String prompt) {
        return model + "\n" + prompt;
    }

    private void addEngineEvent(String engine, JsonNode numbered) {
        JsonNode event = numbered.path("value");
        long at = numbered.path("timeMillis").asLong();
        String model = event.path("model").asText();
        switch (event.path("kind").asText()) {
            case "RUN" -> {
                String prompt = EngineTokens.prompt(
                        Json.parse(event.path("body").asText()).path("request"));
                runsByRequest
                        .computeIfAbsent(requestKey(model, prompt), k -> new ArrayList<>())
                        .add(new EngineRun(engine, at));
                countKeys(event);
            }
            case "LOADED" -> {
                loads++;
                loadsByEngineAndModel
                        .computeIfAbsent(engine + " " + model, k -> new ArrayList<>())
                        .add(at);
            }
            case "LOAD_FAILED" -> loadFailures++;
            case "RUN_REFUSED" -> runsRefused++;
            case "VIOLATION" -> violations++;
            default -> {
                // Other events are not needed.
            }
        }
    }

    private void addServiceRun(JsonNode numbered) {
        JsonNode run = numbered.path("value");
        if (run.path("run").asLong() > 0) {
            effectsByOrder.merge(run.path("body").asText(), 1, Integer::sum);
        }
        countKeys(run);
    }

    private void countKeys(JsonNode seen) {
        if (seen.toString().contains(KEY_PREFIX)) {
            keysSeen++;
        }
    }

    private static Stream<JsonNode> records(StandInNode node) {
        return StreamSupport.stream(node.read("records").path("records").spliterator(), false);
    }

    /** A run that an engine accepted, and when, in milliseconds since 1970. */
    record EngineRun(String engine, long atMillis) {}
}
