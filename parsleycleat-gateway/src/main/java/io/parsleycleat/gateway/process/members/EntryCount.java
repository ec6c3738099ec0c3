package io.parsleycleat.gateway.process.members;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.function.IntSupplier;

/**
 * Counts the entries that divide a limit of the whole fleet into equal parts. Parts must not add up to more than the
 * whole, so entries count for a while after they are no longer known: they may run, cut off, and use their parts.
 *
 * <p>One per entry; guarded by its own lock.
 */
public final class EntryCount implements IntSupplier {
    /** Time for which entries count that are no longer known; longer than disruptions that divide a fleet last. */
    private static final Duration MEMORY = Duration.ofSeconds(60);

    private final IntSupplier known;
    private final TimeSource time;
    private int largest;
    private long largestNanos;

    /**
     * Creates a count.
     *
     * @param known returns how many entries are known now, this one included; 0 while the others are not known yet
     */
    public EntryCount(IntSupplier known, TimeSource time) {
        this.known = known;
        this.time = time;
    }

    /** Returns the largest number of entries that was known lately; 0 if none was. */
    @Override
    public synchronized int getAsInt() {
        int now = known.getAsInt();
        long nanos = time.monotonicNanos();
        if (now >= largest || nanos - largestNanos > MEMORY.toNanos()) {
            largest = now;
            largestNanos = nanos;
        }
        return largest;
    }
}
