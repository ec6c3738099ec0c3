package io.parsleycleat.core.process.slots;

import java.util.HashMap;
import java.util.Map;

/**
 * Shares loads out between accounts by weight: whoever had the fewest goes first.
 *
 * <p>Created by the {@link SlotLedger} and guarded by the table's lock. An account that asked for nothing saves up no
 * claim: it starts level with the account that was served last.
 */
final class LoadShares {
    private static final int MAX_ACCOUNTS = 1024;

    private final Map<String, Double> used = new HashMap<>();
    private double level;

    /** Returns how much an account has had; the least goes first. */
    double used(String accountId) {
        return Math.max(level, used.getOrDefault(accountId, 0.0));
    }

    /** Counts a load for an account. */
    void charge(String accountId, int weight) {
        double before = used(accountId);
        level = before;
        used.put(accountId, before + 1.0 / weight);
        if (used.size() > MAX_ACCOUNTS) {
            used.values().removeIf(value -> value <= level);
        }
    }
}
