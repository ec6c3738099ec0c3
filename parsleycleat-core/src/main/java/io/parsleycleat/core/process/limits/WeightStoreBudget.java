package io.parsleycleat.core.process.limits;

import io.parsleycleat.core.connection.platform.WeightStoreLimits;
import io.parsleycleat.core.process.slots.LoadPriority;
import io.parsleycleat.wire.configuration.Account;
import java.util.List;

/**
 * The weight store's limits as two budgets of the escrow: starts of loads, and loads in transit.
 *
 * <p>Stateless. The names of the budgets cannot be those of client accounts.
 */
final class WeightStoreBudget {
    /** Takes one token for each load that starts. */
    static final String STARTS = "\0weight-store-starts";
    /** Takes one token for each load in transit and gives it back at its end. */
    static final String TRANSITS = "\0weight-store-transits";

    /** After this time a transit counts as ended although nobody said so. */
    private static final double TRANSIT_BOUND_SECONDS = 20;

    private static final double FREE_REST = 0.6;
    private static final double PREFETCH_REST = 0.8;

    private WeightStoreBudget() {}

    /** Returns the two budgets. */
    static List<Account> accounts(WeightStoreLimits limits) {
        return List.of(
                account(STARTS, limits.loadsPerSecond(), limits.fullSpeedTransits()),
                account(TRANSITS, limits.fullSpeedTransits() / TRANSIT_BOUND_SECONDS, limits.fullSpeedTransits()));
    }

    /** Returns the share of the burst that must be left in the budget of starts after a load of a priority. */
    static double rest(LoadPriority priority) {
        return switch (priority) {
            case PAYING -> 0;
            case FREE -> FREE_REST;
            case PREFETCH -> PREFETCH_REST;
        };
    }

    private static Account account(String id, double rate, double burst) {
        return Account.newBuilder()
                .setId(id)
                .setTokensPerSecond(rate)
                .setBurstTokens(Math.max(1, burst))
                .build();
    }
}
