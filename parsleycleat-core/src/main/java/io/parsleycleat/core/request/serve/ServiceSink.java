package io.parsleycleat.core.request.serve;

import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.ErrorAnswer;
import io.parsleycleat.core.connection.run.RunHandle;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.run.AnswerChunk;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Writes a plain service's answer to its caller as it arrives.
 *
 * <p>Created for each request; used by one thread at a time.
 */
final class ServiceSink implements AnswerSink {
    private final CallerExchange exchange;
    private final String requestId;
    private final Consumer<AnswerEnd> whenEnded;
    private @Nullable AnswerHead head;
    private boolean started;

    ServiceSink(CallerExchange exchange, String requestId, Consumer<AnswerEnd> whenEnded) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.whenEnded = whenEnded;
    }

    @Override
    public void onHead(AnswerHead newHead) {
        head = newHead;
    }

    @Override
    public void onChunk(AnswerChunk chunk, RunHandle run) {
        startAnswer();
        exchange.write(chunk.getData(), () -> run.consumed(chunk.getData().size()));
    }

    @Override
    public void onEnd(AnswerEnd end) {
        try {
            whenEnded.accept(end);
        } finally {
            answer(end);
        }
    }

    private void answer(AnswerEnd end) {
        if (end.getCode() == ResultCode.DONE.number()) {
            startAnswer();
            exchange.end();
        } else {
            fail(CompletionSink.refusal(end));
        }
    }

    private void fail(Refusal refusal) {
        if (started) {
            exchange.abort();
        } else {
            ErrorAnswer.send(exchange, requestId, refusal);
        }
    }

    @Override
    public void onBroken() {
        fail(Refusal.of(ResultCode.FAILURE_UNEXPECTED));
    }

    @Override
    public void onRetry() {
        head = null;
    }

    @Override
    public boolean isAnswerStarted() {
        return started;
    }

    private void startAnswer() {
        AnswerHead current = head;
        if (started || current == null) {
            return;
        }
        started = true;
        List<Map.Entry<String, String>> headers = new ArrayList<>(HeaderRules.toCaller(current.getHeadersList().stream()
                .map(h -> Map.entry(h.getName(), h.getValue()))
                .toList()));
        headers.add(Map.entry("x-request-id", requestId));
        headers.add(Map.entry("x-upstream", current.getUpstreamId()));
        exchange.start(current.getStatus(), headers);
    }
}
