package io.parsleycleat.core.process.slots;

import io.parsleycleat.wire.routing.SlotState;
import java.util.Objects;

/**
 * What a slot table says of one adapter version. Immutable and safe to share.
 *
 * @param expectedLoadMillis how long a run would wait for the adapter; 0 when it is loaded
 */
public record SlotReport(SlotState state, int freeSlots, int evictableSlots, long expectedLoadMillis) {
    public SlotReport {
        Objects.requireNonNull(state, "state");
    }
}
