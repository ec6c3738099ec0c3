package io.parsleycleat.core.request.queue;

/** The order in which a queue starts the runs that wait. */
public enum QueuePolicy {
    /** Paying before free, and fair in tokens by weight between the accounts of each. The default. */
    FAIR,
    /** In the order of arrival, whoever asked. For comparison. */
    FIFO
}
