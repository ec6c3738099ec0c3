package io.parsleycleat.standin.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;

/**
 * What a stand-in saw, in order. When it is full the oldest are dropped and counted.
 *
 * <p>Created by each stand-in; safe to share between threads.
 *
 * @param <T> what is recorded, a record that Jackson can write
 */
public final class Recorder<T> {
    /** Records kept unless a stand-in is told otherwise. */
    public static final int DEFAULT_LIMIT = 50_000;

    private final int limit;
    private final Deque<Numbered<T>> kept = new ArrayDeque<>();
    private long next;

    /** Creates a recorder that keeps at most so many records. */
    public Recorder(int limit) {
        this.limit = limit;
    }

    /** Adds a record. */
    public synchronized void add(T value) {
        kept.addLast(new Numbered<>(next, System.currentTimeMillis(), value));
        next++;
        if (kept.size() > limit) {
            kept.removeFirst();
        }
    }

    /** Returns the records from a number on. */
    public synchronized List<Numbered<T>> from(long number) {
        return kept.stream().filter(r -> r.number() >= number).toList();
    }

    /** Returns all records without their numbers. */
    public synchronized List<T> all() {
        return kept.stream().map(Numbered::value).toList();
    }

    /** Returns the number that the next record gets. */
    public synchronized long next() {
        return next;
    }

    /** A record with its number, counted from 0, and the time of its arrival. */
    public record Numbered<T>(long number, long timeMillis, T value) {
        public Numbered {
            Objects.requireNonNull(value, "value");
        }
    }
}
