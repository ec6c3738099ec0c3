package io.parsleycleat.core.version.configuration.keys;

/** When a process stops to accept keys, since it could not know of their withdrawal. */
public enum CutOffPolicy {
    /**
     * After the bound without word from the log or another data centre, be it by way of other processes. The default: a
     * withdrawn key stops working everywhere, and a data centre on its own serves no keyed route.
     */
    REFUSE_ISOLATED_GROUP,
    /**
     * After the bound without word from anyone. A data centre on its own keeps serving, also callers whose key was
     * withdrawn elsewhere in the meantime.
     */
    REFUSE_CUT_OFF_PROCESS
}
