package io.parsleycleat.core.process.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What a home believes that each other home of an account has at most, from its last answer and its rate.
 *
 * <p>Spares messages to homes that cannot help. Created by {@link HomeAccount}, whose lock guards it.
 */
final class LenderEstimates {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private record Seen(double tokens, long atNanos, long unreachableUntilNanos) {}

    private final Map<String, Seen> seen = new HashMap<>();

    /** Notes what a lender said that it has left. */
    void answered(String vmName, double remaining, long now) {
        seen.put(vmName, new Seen(remaining, now, now));
    }

    /** Notes that a lender did not answer and is not worth asking until a time. */
    void failed(String vmName, long untilNanos, long now) {
        seen.put(vmName, new Seen(0, now, untilNanos));
    }

    /** Returns the most that a lender with this rate and burst can have. */
    double most(String vmName, double rate, double burst, long now) {
        Seen last = seen.get(vmName);
        if (last == null) {
            return burst;
        }
        if (last.unreachableUntilNanos() - now > 0) {
            return 0;
        }
        return Math.min(burst, last.tokens() + rate * (now - last.atNanos()) / NANOS_PER_SECOND);
    }

    /** Forgets all but the lenders given. */
    void retain(Collection<String> vmNames) {
        seen.keySet().retainAll(vmNames);
    }
}
