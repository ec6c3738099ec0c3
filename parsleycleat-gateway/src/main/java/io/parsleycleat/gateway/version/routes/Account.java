package io.parsleycleat.gateway.version.routes;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A client account with its keys and its limit, which applies to the whole fleet. Immutable.
 *
 * @param priority overrides the route's priority; null if that one applies
 * @param countsTokens whether rate and burst are counted in tokens; otherwise in requests
 * @param ratePerSecond 0 for no limit
 * @param burst the maximum that may be spent at once; 0 for what the rate gives in a second, at least 1
 * @param defaultRequestTokens the tokens that a request without token counts costs
 */
public record Account(
        String name,
        Set<String> keys,
        @Nullable Integer priority,
        boolean countsTokens,
        double ratePerSecond,
        double burst,
        int defaultRequestTokens) {
    public Account {
        Objects.requireNonNull(name, "name");
        keys = Set.copyOf(keys);
        // A cost is charged up to the burst only, so that nothing would ever be charged with a burst of 0.
        burst = burst > 0 || ratePerSecond <= 0 ? burst : Math.max(1, ratePerSecond);
    }

    /** Returns the account's own priority, if it has one. */
    public OptionalInt ownPriority() {
        return priority == null ? OptionalInt.empty() : OptionalInt.of(priority);
    }

    /** Returns whether the account has a limit. */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
