package io.parsleycleat.standin.load;

import java.util.Objects;

/**
 * What became of one request, as its caller saw it. Immutable. Times are from the start of the run; 0 when there was
 * none.
 *
 * @param code number of the result code; 0 when the answer is whole
 * @param wrong whether the answer is not the one that the adapter, version and prompt give
 */
record Outcome(
        Arrival arrival,
        long sentNanos,
        long firstTokenNanos,
        long endNanos,
        int status,
        int code,
        String upstream,
        int promptTokens,
        int generatedTokens,
        boolean wrong) {
    /** Stands for a request whose connection broke without a result code. */
    static final int CODE_BROKEN = -1;

    Outcome {
        Objects.requireNonNull(arrival, "arrival");
        Objects.requireNonNull(upstream, "upstream");
    }

    boolean isDone() {
        return code == 0;
    }

    int tokens() {
        return promptTokens + generatedTokens;
    }
}
