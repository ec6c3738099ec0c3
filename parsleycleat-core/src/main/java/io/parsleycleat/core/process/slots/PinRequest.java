package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import java.util.Objects;

/**
 * Who wants an adapter version, and until when.
 *
 * @param accountId the account that the loads are shared out to; empty when nobody waits
 * @param weight share of the loads relative to other accounts; at least 1
 * @param deadlineNanos monotonic time after which the adapter is of no use
 */
public record PinRequest(
        AdapterVersion adapter, LoadPriority priority, String accountId, int weight, long deadlineNanos) {
    /** The deadline of a request that waits for as long as it takes. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    public PinRequest {
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(priority, "priority");
        Objects.requireNonNull(accountId, "accountId");
        if (weight < 1) {
            throw new IllegalArgumentException("weight must be at least 1");
        }
    }

    /** Returns a request that belongs to no account and has no deadline. */
    public static PinRequest of(AdapterVersion adapter, LoadPriority priority) {
        return new PinRequest(adapter, priority, "", 1, NO_DEADLINE);
    }

    boolean isExpired(long nowNanos) {
        return deadlineNanos != NO_DEADLINE && nowNanos - deadlineNanos >= 0;
    }
}
