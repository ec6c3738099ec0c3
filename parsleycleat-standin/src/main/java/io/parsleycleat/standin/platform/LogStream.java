package io.parsleycleat.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The records of one stream of the log stand-in, and the reads that wait for more.
 *
 * <p>Created by {@link LogStandIn} for each stream; every method holds the stream's lock.
 */
final class LogStream {
    private final ArrayList<StoredRecord> records = new ArrayList<>();
    private final List<Runnable> waiters = new ArrayList<>();
    private long earliest;
    private int head;

    /** Appends values and returns the offset of the first. */
    synchronized long append(List<String> values, long timeMillis) {
        long first = end();
        values.forEach(v -> records.add(new StoredRecord(end(), timeMillis, v)));
        return first;
    }

    /** Returns the waiting reads and forgets them. */
    synchronized List<Runnable> takeWaiters() {
        List<Runnable> taken = List.copyOf(waiters);
        waiters.clear();
        return taken;
    }

    /** Keeps an action until more is appended, unless there is a record at the offset. Tells whether it was kept. */
    synchronized boolean awaitRecord(long offset, Runnable waiter) {
        return offset >= end() && waiters.add(waiter);
    }

    synchronized void forget(Runnable waiter) {
        waiters.remove(waiter);
    }

    /** Drops the oldest records beyond a number and those older than a time. */
    synchronized void retain(int limit, long oldestMillis) {
        dropWhile(r -> size() > limit || r.timeMillis() < oldestMillis);
    }

    /** Drops all records before an offset. */
    synchronized void trim(long offset) {
        dropWhile(r -> r.offset() < offset);
    }

    /** Returns up to a number of records from an offset on, with the bounds of what is kept. */
    synchronized Page read(long from, int limit) {
        int start = (int) Math.min(size(), Math.max(0, from - earliest));
        int stop = Math.min(size(), start + limit);
        return new Page(earliest, end(), List.copyOf(records.subList(head + start, head + stop)));
    }

    private void dropWhile(Predicate<StoredRecord> dropped) {
        while (size() > 0 && dropped.test(records.get(head))) {
            head++;
            earliest++;
        }
        if (head > records.size() / 2) {
            records.subList(0, head).clear();
            head = 0;
        }
    }

    private int size() {
        return records.size() - head;
    }

    private long end() {
        return earliest + size();
    }

    /** A record as the log keeps it; the value is base64. */
    record StoredRecord(long offset, long timeMillis, String value) {}

    /** Consecutive records with the bounds of what the stream keeps. */
    record Page(long earliestOffset, long endOffset, List<StoredRecord> records) {}
}
