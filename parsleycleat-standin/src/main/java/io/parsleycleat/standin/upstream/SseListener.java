package io.parsleycleat.standin.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.standin.http.HttpExchange;
import io.parsleycleat.standin.http.Json;

/**
 * Writes a run's answer as server-sent events.
 *
 * <p>Created for each request; used by one thread at a time.
 */
final class SseListener implements RunListener {
    private static final int OK = 200;

    private final HttpExchange exchange;

    SseListener(HttpExchange exchange) {
        this.exchange = exchange;
    }

    @Override
    public void onAccepted() {
        exchange.begin(OK, "text/event-stream");
    }

    @Override
    public void onToken(long index, String text) {
        write(Json.object().put("index", index).put("text", text));
    }

    @Override
    public void onEnd(String finishReason, int promptTokens, int generatedTokens) {
        write(Json.object()
                .put("finishReason", finishReason)
                .put("promptTokens", promptTokens)
                .put("generatedTokens", generatedTokens));
        exchange.end();
    }

    @Override
    public void onBroken() {
        exchange.cut();
    }

    private void write(ObjectNode event) {
        exchange.write("data:" + event + "\n\n");
    }
}
