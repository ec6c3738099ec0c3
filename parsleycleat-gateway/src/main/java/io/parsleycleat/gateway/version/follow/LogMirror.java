package io.parsleycleat.gateway.version.follow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The newest record of each key that a follower has read, from which other processes can go on.
 *
 * <p>Created by {@link LogFollower}; guarded by its own lock.
 */
public final class LogMirror {
    private static final byte[] NO_VALUE = {};
    /** Dropped keys that are remembered; a reader that is further behind reads the log itself. */
    private static final int MAX_DROPPED = 1_000;
    /** The offset of what was read in an earlier era. */
    private static final long BEFORE_ALL = -1;

    private final Map<String, KeyedRecord> newest = new HashMap<>();
    private final List<CompletableFuture<Void>> waiting = new ArrayList<>();
    private long era;
    private long first = Long.MAX_VALUE;
    private long next = -1;

    LogMirror() {}

    /** Takes a record and returns whether it is newer than what was known of its key. */
    synchronized boolean accept(KeyedRecord record) {
        KeyedRecord known = newest.get(record.key());
        if (known != null && record.offset() <= known.offset()) {
            return false;
        }
        newest.put(record.key(), record);
        return true;
    }

    /**
     * Goes over to a later era. What is known stays until a record of that era replaces it; but a key that was dropped
     * stays so until it is written anew, as the copy may be older than the drop.
     *
     * @param copied the records that the log has at the beginning of the era
     */
    synchronized void beginEra(long newEra, List<KeyedRecord> copied) {
        era = newEra;
        first = Long.MAX_VALUE;
        next = -1;
        newest.replaceAll((key, r) -> new KeyedRecord(key, r.value(), BEFORE_ALL));
        copied.stream()
                .filter(r -> isDropped(r.key()))
                .forEach(r -> newest.put(r.key(), new KeyedRecord(r.key(), NO_VALUE, r.offset())));
    }

    /** Returns whether nothing was read yet. */
    synchronized boolean isEmpty() {
        return next < 0 && newest.isEmpty();
    }

    private boolean isDropped(String key) {
        KeyedRecord known = newest.get(key);
        return known != null && known.isTombstone();
    }

    /** Drops the keys that a full read did not show, and returns them. */
    synchronized List<String> dropMissing(Set<String> present) {
        List<KeyedRecord> missing = newest.values().stream()
                .filter(r -> !r.isTombstone() && !present.contains(r.key()))
                .toList();
        missing.forEach(r -> newest.put(r.key(), new KeyedRecord(r.key(), NO_VALUE, r.offset())));
        return missing.stream().map(KeyedRecord::key).toList();
    }

    /** Notes a full read, which does not tell what was dropped before its end. */
    void fullyReadTo(long end) {
        synchronized (this) {
            first = Math.max(next, end);
        }
        readTo(end);
    }

    /** Notes up to where the log was read, and wakes those that wait for it. */
    void readTo(long end) {
        List<CompletableFuture<Void>> woken;
        synchronized (this) {
            woken = end > next ? List.copyOf(waiting) : List.of();
            waiting.removeAll(woken);
            next = Math.max(next, end);
            forgetDropped();
        }
        woken.forEach(w -> w.complete(null));
    }

    /** Returns the records from a place on, or nothing when this mirror cannot tell all of them. */
    public synchronized Optional<KeyedLog.Records> recordsFrom(LogPosition from) {
        if (next < 0 || from.era() != era || from.offset() < first) {
            return Optional.empty();
        }
        List<KeyedRecord> records = newest.values().stream()
                .filter(r -> r.offset() >= from.offset())
                .sorted(Comparator.comparingLong(KeyedRecord::offset))
                .toList();
        return Optional.of(new KeyedLog.Records(records, new LogPosition(era, next)));
    }

    /** Returns what completes when the log has been read beyond a place; at once when it was, or is of another era. */
    public synchronized CompletableFuture<Void> whenReadBeyond(LogPosition place) {
        if (place.era() != era || next > place.offset()) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> change = new CompletableFuture<>();
        waiting.add(change);
        change.whenComplete((nothing, failure) -> forget(change));
        return change;
    }

    private synchronized void forget(CompletableFuture<Void> change) {
        waiting.remove(change);
    }

    private void forgetDropped() {
        if (newest.values().stream().filter(KeyedRecord::isTombstone).count() > MAX_DROPPED) {
            newest.values().removeIf(KeyedRecord::isTombstone);
            first = next;
        }
    }
}
