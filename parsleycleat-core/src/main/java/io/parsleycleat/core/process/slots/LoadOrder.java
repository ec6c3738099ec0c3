package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import org.jspecify.annotations.Nullable;

/** A load that was decided, and the adapter that has to leave first. Created by the {@link SlotLedger}. */
record LoadOrder(Slot slot, @Nullable AdapterVersion evicted) {}
