package io.parsleycleat.standin.upstream;

import java.time.Duration;
import java.util.Objects;

/**
 * How long a model engine's work takes. Immutable.
 *
 * @param tokenInterval time of a step for a batch of one run
 * @param fillSlowdown share by which a full batch is slower than an empty one
 * @param adapterSlowdown share by which each further distinct adapter slows a step down
 * @param prefillPerToken time that each prompt token outside the prefix cache adds to the step that admits it
 */
public record EngineTiming(
        Duration tokenInterval, double fillSlowdown, double adapterSlowdown, Duration prefillPerToken) {
    /** 25 ms between tokens of a lone run, about 50 ms in a full batch of eight adapters. */
    public static final EngineTiming DEFAULT =
            new EngineTiming(Duration.ofMillis(25), 0.6, 0.05, Duration.ofNanos(100_000));

    public EngineTiming {
        Objects.requireNonNull(tokenInterval, "tokenInterval");
        Objects.requireNonNull(prefillPerToken, "prefillPerToken");
        if (tokenInterval.isNegative() || prefillPerToken.isNegative() || fillSlowdown < 0 || adapterSlowdown < 0) {
            throw new IllegalArgumentException("times and slowdowns must not be negative");
        }
    }

    /** Returns a copy with another time of a step. */
    public EngineTiming withTokenInterval(Duration newTokenInterval) {
        return new EngineTiming(newTokenInterval, fillSlowdown, adapterSlowdown, prefillPerToken);
    }

    /** Returns a copy with another time of prompt tokens. */
    public EngineTiming withPrefillPerToken(Duration newPrefillPerToken) {
        return new EngineTiming(tokenInterval, fillSlowdown, adapterSlowdown, newPrefillPerToken);
    }

    /** Returns the time of a step for a batch. */
    public long stepNanos(double fill, int distinctAdapters, long prefillTokens) {
        double slowdown = 1 + fillSlowdown * fill + adapterSlowdown * Math.max(0, distinctAdapters - 1);
        return (long) (tokenInterval.toNanos() * slowdown) + prefillTokens * prefillPerToken.toNanos();
    }
}
