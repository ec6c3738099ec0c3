package io.parsleycleat.core.connection.body;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that the bodies of all open requests and answers of a process hold together, so that no number of
 * them fills the heap.
 *
 * <p>Bodies that hold much already leave the last quarter to others: what is taken for a few large ones does not turn
 * away the many small ones.
 *
 * <p>One per process; safe to share between threads.
 */
public final class BodyMemory {
    /** Bodies that hold no more may take the whole memory. */
    private static final int SMALL_BODY_BYTES = 64 * 1024;
    /** One part of so many of the memory is left to small bodies. */
    private static final int SHARE_OF_SMALL_BODIES = 4;
    /** A body is held up to twice, here and as what is being sent; the rest of the heap is the process's own. */
    private static final int SHARE_OF_HEAP = 4;

    private final long maxBytes;
    private final long maxBytesForLarge;
    private final AtomicLong takenBytes = new AtomicLong();

    /** Creates an account from which nothing was taken. */
    public BodyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
        this.maxBytesForLarge = maxBytes - maxBytes / SHARE_OF_SMALL_BODIES;
    }

    /** Creates an account of the part of this process's heap that bodies may take. */
    public static BodyMemory ofHeap() {
        return new BodyMemory(Runtime.getRuntime().maxMemory() / SHARE_OF_HEAP);
    }

    /** Returns a holder for one body, which holds nothing yet. */
    public Holder newHolder() {
        return new Holder();
    }

    /** Returns how many bytes are taken. */
    public long takenBytes() {
        return takenBytes.get();
    }

    private boolean change(long from, long to) {
        if (to <= from) {
            takenBytes.addAndGet(to - from);
            return true;
        }
        long limit = to > SMALL_BODY_BYTES ? maxBytesForLarge : maxBytes;
        long taken = takenBytes.addAndGet(to - from);
        if (taken > limit) {
            takenBytes.addAndGet(from - to);
            return false;
        }
        return true;
    }

    /** What one body holds. Used by one thread at a time. */
    public final class Holder implements AutoCloseable {
        private long heldBytes;

        private Holder() {}

        /** Changes the held memory to a number of bytes; changes nothing and returns false if there is not enough. */
        public boolean hold(long bytes) {
            boolean held = change(heldBytes, bytes);
            heldBytes = held ? bytes : heldBytes;
            return held;
        }

        /** Returns how many bytes are held. */
        public long heldBytes() {
            return heldBytes;
        }

        /** Gives everything back. The holder can be used again. */
        @Override
        public void close() {
            hold(0);
        }
    }
}
