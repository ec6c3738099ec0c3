package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * An adapter version that pins wait for and that has no slot yet.
 *
 * <p>Created by the {@link SlotLedger} and guarded by the table's lock.
 */
final class Wanted {
    final AdapterVersion adapter;
    final long sequence;
    final List<Waiter> waiters = new ArrayList<>();

    Wanted(AdapterVersion adapter, long sequence) {
        this.adapter = adapter;
        this.sequence = sequence;
    }

    /** Returns the most urgent priority among the waiters. */
    LoadPriority priority() {
        return waiters.stream()
                .map(w -> w.request().priority())
                .min(Comparator.naturalOrder())
                .orElse(LoadPriority.PREFETCH);
    }

    /** Returns the most urgent waiter whose account had the fewest loads; the load is charged to that account. */
    PinRequest claimant(LoadShares shares) {
        return waiters.stream()
                .map(Waiter::request)
                .min(Comparator.comparing(PinRequest::priority).thenComparingDouble(r -> shares.used(r.accountId())))
                .orElseGet(() -> PinRequest.of(adapter, LoadPriority.PREFETCH));
    }
}
