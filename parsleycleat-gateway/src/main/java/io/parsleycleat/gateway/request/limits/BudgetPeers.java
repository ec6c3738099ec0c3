package io.parsleycleat.gateway.request.limits;

import java.util.concurrent.CompletableFuture;

/** Draws on budgets whose homes are other entries. Implementations are safe to share between threads. */
public interface BudgetPeers {
    /**
     * Tokens that a home gave.
     *
     * @param tokens how many, possibly fewer than were needed
     * @param tokensPerSecond what the home's part gains in a second; zero while it gains nothing
     */
    record Grant(double tokens, double tokensPerSecond) {
        /** What an entry gives that is no home of the account. */
        public static final Grant NONE = new Grant(0, 0);
    }

    /** Asks a home for tokens; fails when it does not answer in time. */
    CompletableFuture<Grant> draw(String entry, String account, double needed, double ahead);

    /** Gives tokens back to a home; they may be lost on the way. */
    void returnTokens(String entry, String account, double tokens);
}
