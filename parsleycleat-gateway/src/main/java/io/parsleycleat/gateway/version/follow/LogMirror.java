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
    private static final int MAX_TOMBSTONES = 1_000;
    /** The offset of what was read in an earlier era. */
    private static final long EARLIER_ERA_OFFSET = -1;

    private final Map<String, KeyedRecord> newestByKey = new HashMap<>();
    private final List<CompletableFuture<Void>> waiters = new ArrayList<>();
    private long era;
    private long firstCompleteOffset = Long.MAX_VALUE;
    private long nextOffset = -1;

    LogMirror() {}

    /** Takes a record and returns whether it is newer than what was known of its key. */
    synchronized boolean putIfNewer(KeyedRecord record) {
        KeyedRecord known = newestByKey.get(record.key());
        if (known != null && record.offset() <= known.offset()) {
            return false;
        }
        newestByKey.put(record.key(), record);
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
        firstCompleteOffset = Long.MAX_VALUE;
        nextOffset = -1;
        newestByKey.replaceAll((key, r) -> new KeyedRecord(key, r.value(), EARLIER_ERA_OFFSET));
        copied.stream()
                .filter(r -> isDeleted(r.key()))
                .forEach(r -> newestByKey.put(r.key(), new KeyedRecord(r.key(), NO_VALUE, r.offset())));
    }

    /** Returns whether nothing was read yet. */
    synchronized boolean isEmpty() {
        return nextOffset < 0 && newestByKey.isEmpty();
    }

    private boolean isDeleted(String key) {
        KeyedRecord known = newestByKey.get(key);
        return known != null && known.isTombstone();
    }

    /** Drops the keys that a full read did not show, and returns them. */
    synchronized List<String> deleteMissing(Set<String> present) {
        List<KeyedRecord> missing = newestByKey.values().stream()
                .filter(r -> !r.isTombstone() && !present.contains(r.key()))
                .toList();
        missing.forEach(r -> newestByKey.put(r.key(), new KeyedRecord(r.key(), NO_VALUE, r.offset())));
        return missing.stream().map(KeyedRecord::key).toList();
    }

    /** Notes a full read, which does not tell what was dropped before its end. */
    void onFullRead(long end) {
        synchronized (this) {
            firstCompleteOffset = Math.max(nextOffset, end);
        }
        onReadTo(end);
    }

    /** Notes up to where the log was read, and wakes those that wait for it. */
    void onReadTo(long end) {
        List<CompletableFuture<Void>> woken;
        synchronized (this) {
            woken = end > nextOffset ? List.copyOf(waiters) : List.of();
            waiters.removeAll(woken);
            nextOffset = Math.max(nextOffset, end);
            purgeTombstones();
        }
        woken.forEach(w -> w.complete(null));
    }

    /** Returns the records from a place on, or nothing when this mirror cannot tell all of them. */
    public synchronized Optional<KeyedLog.Records> recordsFrom(LogPosition from) {
        if (nextOffset < 0 || from.era() != era || from.offset() < firstCompleteOffset) {
            return Optional.empty();
        }
        List<KeyedRecord> records = newestByKey.values().stream()
                .filter(r -> r.offset() >= from.offset())
                .sorted(Comparator.comparingLong(KeyedRecord::offset))
                .toList();
        return Optional.of(new KeyedLog.Records(records, new LogPosition(era, nextOffset)));
    }

    /** Returns what completes when the log has been read beyond a place; at once when it was, or is of another era. */
    public synchronized CompletableFuture<Void> whenReadBeyond(LogPosition position) {
        if (position.era() != era || nextOffset > position.offset()) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> change = new CompletableFuture<>();
        waiters.add(change);
        change.whenComplete((nothing, failure) -> removeWaiter(change));
        return change;
    }

    private synchronized void removeWaiter(CompletableFuture<Void> change) {
        waiters.remove(change);
    }

    private void purgeTombstones() {
        if (newestByKey.values().stream().filter(KeyedRecord::isTombstone).count() > MAX_TOMBSTONES) {
            newestByKey.values().removeIf(KeyedRecord::isTombstone);
            firstCompleteOffset = nextOffset;
        }
    }
}
