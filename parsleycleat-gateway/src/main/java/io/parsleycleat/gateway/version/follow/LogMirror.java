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
 * Holds the newest record of each key that a follower has read, so that other processes can read the log from here.
 *
 * <p>Created by {@link LogFollower}; guarded by its own lock.
 */
public final class LogMirror {
    private static final byte[] NO_VALUE = {};
    /** Number of tombstones above which all are removed; a reader that is further behind reads the log itself. */
    private static final int MAX_TOMBSTONES = 1_000;
    /** The offset of records that were read in an earlier era. */
    private static final long EARLIER_ERA_OFFSET = -1;

    private final Map<String, KeyedRecord> newestByKey = new HashMap<>();
    private final List<CompletableFuture<Void>> waiters = new ArrayList<>();
    private long era;
    private long firstCompleteOffset = Long.MAX_VALUE;
    private long nextOffset = -1;

    LogMirror() {}

    /** Stores a record unless its key has one at the same or a later offset; returns whether it was stored. */
    synchronized boolean putIfNewer(KeyedRecord record) {
        KeyedRecord known = newestByKey.get(record.key());
        if (known != null && record.offset() <= known.offset()) {
            return false;
        }
        newestByKey.put(record.key(), record);
        return true;
    }

    /**
     * Starts a later era. Known values are kept until a record of that era replaces them. A deleted key stays deleted
     * until it is written again, since the restored copy may be older than the deletion.
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

    /** Deletes the keys that are missing from a full read, and returns them. */
    synchronized List<String> deleteMissing(Set<String> present) {
        List<KeyedRecord> missing = newestByKey.values().stream()
                .filter(r -> !r.isTombstone() && !present.contains(r.key()))
                .toList();
        missing.forEach(r -> newestByKey.put(r.key(), new KeyedRecord(r.key(), NO_VALUE, r.offset())));
        return missing.stream().map(KeyedRecord::key).toList();
    }

    /** Records a full read, which does not contain the deletions before its end. */
    void onFullRead(long end) {
        synchronized (this) {
            firstCompleteOffset = Math.max(nextOffset, end);
        }
        onReadTo(end);
    }

    /** Records up to where the log was read, and completes the waiting reads. */
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

    /** Returns the records from a position on, or nothing if some of them are no longer known here. */
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

    /**
     * Returns a future that completes when the log has been read beyond a position. It is complete already if this is
     * so, or if the position is of another era.
     */
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
