package io.parsleycleat.standin.load;

import java.util.List;
import java.util.Objects;

/**
 * A client account of a run: what it may use and what it asks for. Immutable.
 *
 * @param trafficShare share of the run's ordinary completions
 * @param rateShare tokens that it may use, relative to what it asks for when it behaves
 * @param overload factor by which it asks for more than that
 * @param adapters number of adapters that it owns
 */
public record AccountPlan(
        String id, boolean freeTier, int weight, double trafficShare, double rateShare, double overload, int adapters) {
    private static final double BURST_SECONDS = 20;
    private static final double ORDINARY_RATE_SHARE = 1.5;
    private static final double FREE_RATE_SHARE = 4;
    private static final double OVERLOAD = 4;

    public AccountPlan {
        Objects.requireNonNull(id, "id");
        if (weight < 1 || trafficShare <= 0 || rateShare <= 0 || overload <= 0 || adapters < 1) {
            throw new IllegalArgumentException("shares must be positive");
        }
    }

    /**
     * Returns five accounts, two of them large, the last of which asks for four times its rate, and a free tier.
     *
     * @param adapters number of adapters of all accounts together
     */
    public static List<AccountPlan> standard(int adapters) {
        return List.of(
                of("large-1", 0.34, adapters),
                of("large-2", 0.26, adapters),
                of("small-1", 0.12, adapters),
                of("small-2", 0.08, adapters),
                new AccountPlan("overload", false, 1, 0.08, 1, OVERLOAD, share(0.08, adapters)),
                new AccountPlan("free", true, 1, 0.12, FREE_RATE_SHARE, 1, share(0.12, adapters)));
    }

    private static AccountPlan of(String id, double share, int adapters) {
        return new AccountPlan(id, false, 1, share, ORDINARY_RATE_SHARE, 1, share(share, adapters));
    }

    private static int share(double share, int adapters) {
        return Math.max(1, (int) (share * adapters));
    }

    /** Returns the tokens a second that the account may use. */
    public double tokensPerSecond(double offeredTokensPerSecond) {
        return offeredTokensPerSecond * trafficShare * rateShare;
    }

    /** Returns the tokens that the account may save up. */
    public double burstTokens(double offeredTokensPerSecond) {
        return tokensPerSecond(offeredTokensPerSecond) * BURST_SECONDS;
    }

    /** Returns the name of an adapter of the account. */
    public String adapterId(int index) {
        return id + "-adapter-" + index;
    }
}
