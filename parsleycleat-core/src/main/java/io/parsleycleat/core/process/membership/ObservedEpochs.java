package io.parsleycleat.core.process.membership;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The newest epoch that was seen in the messages of others, for processes that take no part in epochs.
 *
 * <p>Created once by a side; safe to share between threads.
 */
public final class ObservedEpochs implements EpochSource {
    private final AtomicLong newest = new AtomicLong();

    /** Notes an epoch that a message carried. */
    public void observe(long epoch) {
        newest.accumulateAndGet(epoch, Math::max);
    }

    @Override
    public long current() {
        return newest.get();
    }
}
