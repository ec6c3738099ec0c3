package io.parsleycleat.core.process.limits;

import java.nio.charset.StandardCharsets;

/**
 * What a completion may cost its account in tokens.
 *
 * <p>The upper bound is reserved before the request runs, since a budget must not be exceeded by an answer that turns
 * out long. The true count is settled when the answer has ended or was cut. Immutable and safe to share.
 *
 * @param promptTokens estimate of the prompt, never below the true count of a tokenizer that covers each byte once
 * @param maxTokens most tokens that the engine may generate
 */
public record TokenCost(int promptTokens, int maxTokens) {
    /** Tokens that an engine adds around each message of a chat. */
    public static final int TOKENS_PER_MESSAGE = 8;

    public TokenCost {
        if (promptTokens < 0 || maxTokens < 0) {
            throw new IllegalArgumentException("token counts must not be negative");
        }
    }

    /** Returns the cost of a prompt: at most one token for each byte. */
    public static TokenCost of(String prompt, int maxTokens) {
        return new TokenCost(prompt.getBytes(StandardCharsets.UTF_8).length, maxTokens);
    }

    /**
     * Returns the cost of a prompt by its usual length in tokens.
     *
     * @param bytesPerToken bytes of UTF-8 that a token covers in most prompts
     */
    public static TokenCost estimate(String prompt, int messages, double bytesPerToken, int maxTokens) {
        int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
        int tokens = (int) Math.ceil(bytes / Math.max(1, bytesPerToken)) + messages * TOKENS_PER_MESSAGE;
        return new TokenCost(tokens, maxTokens);
    }

    /** Returns what is reserved before the request runs. */
    public double upperBound() {
        return (double) promptTokens + maxTokens;
    }

    /** Returns what is charged for the tokens that the engine counted, which the reservation covers. */
    public double used(int countedPromptTokens, int generatedTokens) {
        return Math.min(upperBound(), Math.max(0.0, countedPromptTokens) + Math.max(0, generatedTokens));
    }
}
