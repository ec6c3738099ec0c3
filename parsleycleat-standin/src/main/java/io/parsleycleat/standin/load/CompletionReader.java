package io.parsleycleat.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.parsleycleat.standin.http.Json;
import io.parsleycleat.standin.upstream.EngineTokens;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/**
 * Reads one answer of an entry, streamed or whole, and notes when its parts came.
 *
 * <p>Created for each request; called by one thread at a time.
 */
final class CompletionReader implements AsyncHandler<@Nullable Void> {
    private static final int STATUS_OK = 200;
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final Arrival arrival;
    private final LongSupplier clock;
    private final LongConsumer gaps;
    private final long sentNanos;
    private final CompletableFuture<Outcome> outcome;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder text = new StringBuilder();
    private int status;
    private String upstream = "";
    private boolean streamed;
    private boolean ended;
    private long firstNanos;
    private long lastNanos;
    private int code = Outcome.CODE_BROKEN;
    private int promptTokens;
    private int generatedTokens;

    /**
     * Creates a reader.
     *
     * @param clock tells the nanoseconds since the start of the run
     * @param gaps takes the nanoseconds between two parts of the answer
     */
    CompletionReader(Arrival arrival, LongSupplier clock, LongConsumer gaps, CompletableFuture<Outcome> outcome) {
        this.arrival = arrival;
        this.clock = clock;
        this.gaps = gaps;
        this.outcome = outcome;
        this.sentNanos = clock.getAsLong();
    }

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
        status = responseStatus.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        upstream = headers.get("x-upstream", "");
        streamed = headers.get("content-type", "").startsWith("text/event-stream");
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        for (byte b : part.getBodyPartBytes()) {
            if (streamed && b == '\n') {
                readLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else {
                line.write(b);
            }
        }
        return State.CONTINUE;
    }

    @Override
    public void onThrowable(Throwable t) {
        finish();
    }

    @Override
    public @Nullable Void onCompleted() {
        if (!streamed) {
            readWhole(Json.parse(line.toString(StandardCharsets.UTF_8)));
        } else if (!ended) {
            code = code == 0 ? Outcome.CODE_BROKEN : code;
        }
        finish();
        return null;
    }

    private void readLine(String event) {
        if (!event.startsWith(DATA)) {
            return;
        }
        String data = event.substring(DATA.length());
        if (data.equals(DONE)) {
            ended = true;
            code = 0;
            return;
        }
        JsonNode json = Json.parse(data);
        if (json.has("error")) {
            code = json.path("error").path("code").asInt(Outcome.CODE_BROKEN);
            return;
        }
        String token = json.path("choices").path(0).path("text").asText();
        if (!token.isEmpty()) {
            noteToken(token);
        }
        if (json.has("usage")) {
            promptTokens = json.path("usage").path("prompt_tokens").asInt();
            generatedTokens = json.path("usage").path("completion_tokens").asInt();
        }
    }

    private void noteToken(String token) {
        long now = clock.getAsLong();
        if (firstNanos == 0) {
            firstNanos = now;
        } else {
            gaps.accept(now - lastNanos);
        }
        lastNanos = now;
        text.append(token);
    }

    private void readWhole(JsonNode json) {
        if (status == STATUS_OK) {
            code = 0;
        } else {
            code = json.path("error").path("code").asInt(Outcome.CODE_BROKEN);
        }
    }

    private void finish() {
        boolean wrong = arrival.kind() == Arrival.Kind.COMPLETION
                && code == 0
                && !EngineTokens.answer(arrival.model(), arrival.prompt(), generatedTokens)
                        .contentEquals(text);
        outcome.complete(new Outcome(
                arrival,
                sentNanos,
                firstNanos,
                clock.getAsLong(),
                status,
                code,
                upstream,
                promptTokens,
                generatedTokens,
                wrong));
    }
}
