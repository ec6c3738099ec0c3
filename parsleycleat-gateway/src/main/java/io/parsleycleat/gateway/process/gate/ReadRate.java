package io.parsleycleat.gateway.process.gate;

import java.util.concurrent.TimeUnit;

/**
 * Moving average of an engine's prefill rate, measured by the first events of its runs.
 *
 * <p>Created by {@link EngineGate}, which guards it with its lock.
 */
final class ReadRate {
    private static final double FIRST_GUESS = 15_000;
    private static final double MIN = 6_000;
    private static final double MAX = 40_000;
    /** Weight of a new observation in the moving average. */
    private static final double WEIGHT = 0.05;
    /** The time of shorter prompts depends more on the duration of engine steps than on the prefill rate. */
    private static final int MIN_PROMPT_TOKENS = 500;

    private double tokensPerSecond = FIRST_GUESS;
    private long lastNanos;
    private boolean seen;

    /** Records the first event of a run. Prefill is assumed to begin at the grant or at the previous first event. */
    void onFirstEvent(int promptTokens, long grantedNanos, long nowNanos) {
        long since = seen ? Math.max(grantedNanos, lastNanos) : grantedNanos;
        lastNanos = nowNanos;
        seen = true;
        if (promptTokens < MIN_PROMPT_TOKENS || nowNanos <= since) {
            return;
        }
        double rate = promptTokens * (double) TimeUnit.SECONDS.toNanos(1) / (nowNanos - since);
        tokensPerSecond += WEIGHT * (Math.max(MIN, Math.min(MAX, rate)) - tokensPerSecond);
    }

    double tokensPerSecond() {
        return tokensPerSecond;
    }
}
