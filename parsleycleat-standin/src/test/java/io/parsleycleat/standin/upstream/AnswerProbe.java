package io.parsleycleat.standin.upstream;

import io.parsleycleat.core.connection.upstream.EngineAnswer;
import io.parsleycleat.core.process.result.UpstreamException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/** Collects an engine's answer. */
final class AnswerProbe implements EngineAnswer {
    final CompletableFuture<Void> firstToken = new CompletableFuture<>();
    final CompletableFuture<String> end = new CompletableFuture<>();
    final List<Long> indexes = new CopyOnWriteArrayList<>();
    final List<String> tokens = new CopyOnWriteArrayList<>();

    @Override
    public void onToken(long index, String token) {
        indexes.add(index);
        tokens.add(token);
        firstToken.complete(null);
    }

    @Override
    public void onEnd(String finishReason, int promptTokens, int generatedTokens) {
        end.complete(finishReason + " " + generatedTokens);
    }

    @Override
    public void onFailure(UpstreamException failure) {
        end.completeExceptionally(failure);
    }
}
