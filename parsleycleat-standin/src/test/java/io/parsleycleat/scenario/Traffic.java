package io.parsleycleat.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.standin.fleet.DaemonNode;
import io.parsleycleat.standin.history.HistoryEvent;
import io.parsleycleat.standin.history.HistoryRecorder;
import io.parsleycleat.standin.http.Json;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/** Callers that send requests through all entries, and send them again until they are answered as done. */
final class Traffic {
    /** Marks the completion that crashes engines. */
    static final String CRASHING = "crashing";

    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final long REPEAT_MILLIS = 250;
    private static final int MAX_ATTEMPTS = 24;
    private static final int MAX_TOKENS = 24;

    private final Deployment deployment;
    private final HistoryRecorder recorder;
    private final Random random;
    private final String name;
    private final AtomicInteger confirmed = new AtomicInteger();

    Traffic(Deployment deployment, HistoryRecorder recorder, long seed) {
        this.deployment = deployment;
        this.recorder = recorder;
        this.random = new Random(seed);
        this.name = "s" + seed + "-" + System.nanoTime();
    }

    int confirmed() {
        return confirmed.get();
    }

    /** Places orders at equal distances. Completes when each is answered as done or given up by its caller. */
    CompletableFuture<Void> orders(int count, long gapMillis) {
        return spread(count, gapMillis, i -> order(name + "-o" + i, newKey(), 0));
    }

    /** Asks for completions at equal distances. */
    CompletableFuture<Void> completions(int count, long gapMillis) {
        return spread(count, gapMillis, i -> {
            String adapter = Deployment.ADAPTERS.get(i % Deployment.ADAPTERS.size());
            return completion(name + "-c" + i, adapter, i % 4 == 0 ? "1" : "", 0);
        });
    }

    /** Sends one order through an entry. */
    CompletableFuture<Answered> orderOnce(DaemonNode entry, String attempt, String order, String idempotencyKey) {
        recorder.add(new HistoryEvent.Invocation(
                System.currentTimeMillis(),
                attempt,
                deployment.keyId(),
                deployment.service(),
                "",
                false,
                idempotencyKey));
        RequestBuilder request = post(entry, "/services/" + deployment.service() + "/" + deployment.service())
                .addHeader("Idempotency-Key", idempotencyKey)
                .addHeader("x-attempt", attempt)
                .setBody(Json.object().put("order", order).toString());
        return send(request, attempt);
    }

    /** Sends one completion through an entry. */
    CompletableFuture<Answered> completionOnce(DaemonNode entry, String attempt, String adapter, String version) {
        recorder.add(new HistoryEvent.Invocation(
                System.currentTimeMillis(), attempt, deployment.keyId(), adapter, version, true, ""));
        ObjectNode body = Json.object()
                .put("model", version.isEmpty() ? adapter : adapter + "@" + version)
                .put("prompt", attempt + " a quote")
                .put("max_tokens", MAX_TOKENS);
        return send(post(entry, "/v1/completions").setBody(body.toString()), attempt);
    }

    /** Sends the completion that crashes engines. It is not part of the history, since each repeat is the same. */
    CompletableFuture<Answered> crash(DaemonNode entry) {
        ObjectNode body = Json.object()
                .put("model", Deployment.ADAPTERS.get(0))
                .put("prompt", CRASHING + " " + Deployment.CRASH_MARKER)
                .put("max_tokens", MAX_TOKENS);
        return exchange(post(entry, "/v1/completions").setBody(body.toString()));
    }

    /** Returns a new UUID of version 7. */
    synchronized String newKey() {
        long now = System.currentTimeMillis();
        return String.format(
                "%08x-%04x-7%03x-8%03x-%012x",
                now >>> 16, now & 0xffff, random.nextInt(0x1000), random.nextInt(0x1000), random.nextLong() >>> 16);
    }

    /** A caller's view of an answer. */
    record Answered(int code, String body) {
        boolean isDone() {
            return code == ResultCode.DONE.number();
        }
    }

    private CompletableFuture<Void> order(String order, String idempotencyKey, int attempt) {
        return orderOnce(entry(), order + "-" + attempt, order, idempotencyKey)
                .thenCompose(answer -> answer.isDone() || attempt == MAX_ATTEMPTS
                        ? count(answer)
                        : later(() -> order(order, idempotencyKey, attempt + 1)));
    }

    private CompletableFuture<Void> completion(String id, String adapter, String version, int attempt) {
        return completionOnce(entry(), id + "-" + attempt, adapter, version)
                .thenCompose(answer -> answer.isDone() || attempt == MAX_ATTEMPTS
                        ? count(answer)
                        : later(() -> completion(id, adapter, version, attempt + 1)));
    }

    private CompletableFuture<Void> count(Answered answer) {
        if (answer.isDone()) {
            confirmed.incrementAndGet();
        }
        return CompletableFuture.completedFuture(null);
    }

    private static CompletableFuture<Void> later(Supplier<CompletableFuture<Void>> action) {
        return CompletableFuture.supplyAsync(() -> "", after(REPEAT_MILLIS)).thenCompose(x -> action.get());
    }

    private static CompletableFuture<Void> spread(
            int count, long gapMillis, IntFunction<CompletableFuture<Void>> action) {
        return CompletableFuture.allOf(IntStream.range(0, count)
                .mapToObj(i -> CompletableFuture.supplyAsync(() -> i, after(i * gapMillis))
                        .thenCompose(action::apply))
                .toArray(CompletableFuture<?>[]::new));
    }

    private static Executor after(long millis) {
        return CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS);
    }

    private synchronized DaemonNode entry() {
        return deployment.entries().get(random.nextInt(deployment.entries().size()));
    }

    private RequestBuilder post(DaemonNode entry, String path) {
        return new RequestBuilder("POST")
                .setUrl(entry.callers() + path)
                .setHeader("Authorization", "Bearer " + deployment.key())
                .setHeader("Content-Type", "application/json")
                .setRequestTimeout(TIMEOUT)
                .setReadTimeout(TIMEOUT);
    }

    private CompletableFuture<Answered> send(RequestBuilder request, String attempt) {
        return deployment
                .fleet()
                .http()
                .client()
                .executeRequest(request)
                .toCompletableFuture()
                .handle((response, failure) -> failure == null ? answered(response) : lost(failure))
                .thenApply(answer -> {
                    String body = answer.isDone() ? text(answer.body()) : answer.body();
                    recorder.add(new HistoryEvent.Answer(System.currentTimeMillis(), attempt, answer.code(), "", body));
                    return answer;
                });
    }

    private CompletableFuture<Answered> exchange(RequestBuilder request) {
        return deployment
                .fleet()
                .http()
                .client()
                .executeRequest(request)
                .toCompletableFuture()
                .handle((response, failure) -> failure == null ? answered(response) : lost(failure));
    }

    private static Answered answered(Response response) {
        String body = response.getResponseBody();
        if (response.getStatusCode() < 300) {
            return new Answered(ResultCode.DONE.number(), body);
        }
        JsonNode error = Json.parse(body).path("error");
        return new Answered(error.path("code").asInt(ResultCode.FAILURE_UNEXPECTED.number()), body);
    }

    /** A connection that was never made did nothing; one that was lost may have. */
    private static Answered lost(Throwable failure) {
        for (Throwable t = failure; t != null; t = t.getCause()) {
            if (t instanceof ConnectException) {
                return new Answered(ResultCode.NOT_READY.number(), "no connection");
            }
        }
        return new Answered(ResultCode.UPSTREAM_LOST.number(), String.valueOf(failure));
    }

    private static String text(String body) {
        JsonNode choice = Json.parse(body).path("choices").path(0);
        return choice.isMissingNode() ? body : choice.path("text").asText();
    }
}
