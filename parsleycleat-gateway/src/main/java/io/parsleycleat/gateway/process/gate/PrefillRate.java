package io.parsleycleat.gateway.process.gate;

import java.util.concurrent.TimeUnit;

/**
 * Moving average of an engine's prefill rate, measured by the first events of its runs.
 *
 * <p>Created by {@link PrefillBudget}; guarded by the lock of {@link EngineGate}.
 */
final class PrefillRate {
    private static final double INITIAL_TOKENS_PER_SECOND = 15_000;
    private static final double MIN_TOKENS_PER_SECOND = 6_000;
    private static final double MAX_TOKENS_PER_SECOND = 40_000;
    /** Weight of a new observation in the moving average. */
    private static final double SMOOTHING_FACTOR = 0.05;
    /** The time of shorter prompts depends more on the duration of engine steps than on the prefill rate. */
    private static final int MIN_PROMPT_TOKENS = 500;

    private double tokensPerSecond = INITIAL_TOKENS_PER_SECOND;
    private long lastFirstEventNanos;
    private boolean hasFirstEvents;

    /** Records the first event of a run. Prefill is assumed to begin at the grant or at the previous first event. */
    void onFirstEvent(int promptTokens, long grantedNanos, long nowNanos) {
        long since = hasFirstEvents ? Math.max(grantedNanos, lastFirstEventNanos) : grantedNanos;
        lastFirstEventNanos = nowNanos;
        hasFirstEvents = true;
        if (promptTokens < MIN_PROMPT_TOKENS || nowNanos <= since) {
            return;
        }
        double rate = promptTokens * (double) TimeUnit.SECONDS.toNanos(1) / (nowNanos - since);
        tokensPerSecond += SMOOTHING_FACTOR
                * (Math.max(MIN_TOKENS_PER_SECOND, Math.min(MAX_TOKENS_PER_SECOND, rate)) - tokensPerSecond);
    }

    double tokensPerSecond() {
        return tokensPerSecond;
    }
}
