package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.connection.upstream.AdapterVersion;

/** Tells what a run of an account would find in the slots. Implementations are safe to share between threads. */
@FunctionalInterface
public interface SlotReporter {
    /** Returns the state of an adapter version, with the load time that the account has to expect. */
    SlotReport report(AdapterVersion adapter, LoadPriority priority, String accountId);
}
