package io.parsleycleat.gateway.process.gate;

import java.util.concurrent.TimeUnit;

/**
 * How fast an engine reads prompts, judged by when the first events of its runs came.
 *
 * <p>Created by {@link EngineGate} under whose lock it is used.
 */
final class ReadRate {
    private static final double FIRST_GUESS = 15_000;
    private static final double MIN = 6_000;
    private static final double MAX = 40_000;
    /** Part that a new observation has in the mean. */
    private static final double WEIGHT = 0.05;
    /** Prompts below this size tell more of the engine's steps than of its reading. */
    private static final int MIN_PROMPT_TOKENS = 500;

    private double tokensPerSecond = FIRST_GUESS;
    private long lastNanos;
    private boolean seen;

    /** Takes the first event of a run that was granted at some time. */
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
