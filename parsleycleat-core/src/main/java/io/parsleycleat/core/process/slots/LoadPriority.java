package io.parsleycleat.core.process.slots;

/** Who a load is for. */
public enum LoadPriority {
    /** A request of an account that pays is waiting. The default. */
    PAYING,
    /** A request of the free tier is waiting. */
    FREE,
    /** Nobody waits; the adapter is expected to be asked for. */
    PREFETCH
}
