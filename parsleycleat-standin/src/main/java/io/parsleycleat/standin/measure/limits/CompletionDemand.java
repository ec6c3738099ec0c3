package io.parsleycleat.standin.measure.limits;

import io.parsleycleat.core.process.limits.TokenCost;
import java.time.Duration;
import java.util.Random;

/**
 * Completions whose true use is known only at their end, and the ways to reserve for them.
 *
 * <p>Stateless.
 */
final class CompletionDemand {
    private static final double MEAN_PROMPT_TOKENS = 40;
    private static final int MOST_PROMPT_TOKENS = 60;
    private static final int BYTES_PER_TOKEN = 4;
    private static final double ESTIMATED_BYTES_PER_TOKEN = 3;
    private static final int MAX_TOKENS = 160;
    private static final double MEAN_GENERATED_TOKENS = 80;
    private static final Duration TOKEN_INTERVAL = Duration.ofMillis(20);

    /** What is reserved before a completion runs. */
    enum Rule {
        /** The true use, which nobody knows beforehand. */
        TRUE_USE,
        /** An estimate of the prompt and the most tokens that may be generated. */
        ESTIMATED_PROMPT,
        /** One token for each byte of the prompt and the most tokens that may be generated. */
        BYTES_OF_PROMPT,
        /** The mean use of all completions. */
        EXPECTED_USE
    }

    private CompletionDemand() {}

    static LimitsTrial.Demand draw(Random random, Rule rule) {
        int prompt = draw(random, MEAN_PROMPT_TOKENS, MOST_PROMPT_TOKENS);
        int generated = draw(random, MEAN_GENERATED_TOKENS, MAX_TOKENS);
        String text = "x".repeat(prompt * BYTES_PER_TOKEN);
        double used = (double) prompt + generated;
        double reserved =
                switch (rule) {
                    case TRUE_USE -> used;
                    case ESTIMATED_PROMPT -> TokenCost.estimate(text, 1, ESTIMATED_BYTES_PER_TOKEN, MAX_TOKENS)
                            .upperBound();
                    case BYTES_OF_PROMPT -> TokenCost.of(text, MAX_TOKENS).upperBound();
                    case EXPECTED_USE -> MEAN_PROMPT_TOKENS + MEAN_GENERATED_TOKENS;
                };
        return new LimitsTrial.Demand(reserved, used, TOKEN_INTERVAL.multipliedBy(generated));
    }

    private static int draw(Random random, double mean, int most) {
        return (int) Math.min(most, Math.ceil(-mean * Math.log(1 - random.nextDouble())));
    }
}
