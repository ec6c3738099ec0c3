package io.parsleycleat.core.process.limits;

/** Allows one load from the weight store. Created by {@link LoadPermits}; safe to share between threads. */
public interface LoadPermit {
    /** Tells that the load ended, so that another may be in transit. Only the first call has an effect. */
    void release();
}
