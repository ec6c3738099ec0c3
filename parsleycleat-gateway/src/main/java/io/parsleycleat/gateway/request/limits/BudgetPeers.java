package io.parsleycleat.gateway.request.limits;

import java.util.concurrent.CompletableFuture;

/**
 * Draws from the parts of budgets whose homes, that is, owners, are other entries.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface BudgetPeers {
    /**
     * The response of a home to a draw.
     *
     * @param tokens the granted tokens, possibly fewer than needed
     * @param tokensPerSecond the rate of the home's part; zero while the part gains no tokens
     */
    record Grant(double tokens, double tokensPerSecond) {
        /** The response of an entry that holds no part of the account's budget. */
        public static final Grant NONE = new Grant(0, 0);
    }

    /**
     * Requests tokens from a home; the future fails if it does not respond in time.
     *
     * @param needed the tokens that the waiting requests cost
     * @param prefetch the tokens wanted beyond that for further requests
     */
    CompletableFuture<Grant> draw(String entry, String account, double needed, double prefetch);

    /** Returns tokens to a home without confirmation; they are lost if the message is. */
    void returnTokens(String entry, String account, double tokens);
}
