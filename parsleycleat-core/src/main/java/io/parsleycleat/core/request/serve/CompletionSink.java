package io.parsleycleat.core.request.serve;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.ErrorAnswer;
import io.parsleycleat.core.connection.run.RunHandle;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.run.AnswerChunk;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/**
 * Writes a completion to its caller, streamed or whole.
 *
 * <p>Created for each request; used by one thread at a time.
 */
final class CompletionSink implements AnswerSink {
    private static final int STATUS_OK = 200;

    private final CallerExchange exchange;
    private final String requestId;
    private final String model;
    private final boolean streamed;
    private final CompletionAnswer writer;
    private final ObjIntConsumer<AnswerEnd> whenEnded;
    private final StringBuilder text = new StringBuilder();
    private String upstreamId = "";
    private boolean started;
    private int tokens;

    /**
     * Creates a sink.
     *
     * @param whenEnded called once with the end and the number of tokens that arrived
     */
    CompletionSink(
            CallerExchange exchange,
            String requestId,
            String model,
            boolean streamed,
            CompletionAnswer writer,
            ObjIntConsumer<AnswerEnd> whenEnded) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.model = model;
        this.streamed = streamed;
        this.writer = writer;
        this.whenEnded = whenEnded;
    }

    @Override
    public void onHead(AnswerHead head) {
        upstreamId = head.getUpstreamId();
    }

    @Override
    public void onChunk(AnswerChunk chunk, RunHandle run) {
        int size = chunk.getData().size();
        tokens += chunk.getTokens();
        if (streamed) {
            startStream();
            exchange.write(writer.event(chunk.getData().toStringUtf8()), () -> run.consumed(size));
        } else {
            text.append(chunk.getData().toStringUtf8());
            run.consumed(size);
        }
    }

    @Override
    public void onEnd(AnswerEnd end) {
        try {
            whenEnded.accept(end, tokens);
        } finally {
            answer(end);
        }
    }

    private void answer(AnswerEnd end) {
        if (end.getCode() != ResultCode.DONE.number()) {
            fail(refusal(end));
        } else if (streamed) {
            startStream();
            exchange.write(writer.lastEvents(end), () -> {});
            exchange.end();
        } else {
            exchange.respond(STATUS_OK, headers("application/json"), writer.whole(text.toString(), end));
        }
    }

    @Override
    public void onBroken() {
        fail(Refusal.of(ResultCode.FAILURE_UNEXPECTED));
    }

    @Override
    public void onRetry() {
        text.setLength(0);
        tokens = 0;
    }

    @Override
    public boolean isAnswerStarted() {
        return started;
    }

    static Refusal refusal(AnswerEnd end) {
        ResultCode code = ResultCode.ofNumber(end.getCode()).orElse(ResultCode.FAILURE_UNEXPECTED);
        Refusal refusal = Refusal.of(code, end.getDetail().isEmpty() ? code.meaning() : end.getDetail());
        long retryMillis = end.getRetryAfterMillis();
        return retryMillis > 0 ? refusal.withRetryAfter(Duration.ofMillis(retryMillis)) : refusal;
    }

    private void fail(Refusal refusal) {
        if (!started) {
            ErrorAnswer.send(exchange, requestId, refusal);
            return;
        }
        ByteString event = CompletionAnswer.errorEvent(ErrorAnswer.body(requestId, refusal));
        exchange.write(event, exchange::abort);
    }

    private void startStream() {
        if (!started) {
            started = true;
            exchange.start(STATUS_OK, headers("text/event-stream"));
        }
    }

    private List<Map.Entry<String, String>> headers(String contentType) {
        return List.of(
                Map.entry("content-type", contentType),
                Map.entry("x-request-id", requestId),
                Map.entry("x-model", model),
                Map.entry("x-upstream", upstreamId));
    }
}
