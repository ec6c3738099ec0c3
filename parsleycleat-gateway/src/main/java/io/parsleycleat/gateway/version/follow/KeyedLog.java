package io.parsleycleat.gateway.version.follow;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A log that keeps the newest record of each key. Implementations are safe to share between threads. */
public interface KeyedLog {
    /**
     * A page of the newest records.
     *
     * @param hasMore whether there are keys after the last one of this page
     * @param end the position of the next record that will be appended
     */
    record NewestPage(List<KeyedRecord> records, boolean hasMore, LogPosition end) {
        public NewestPage {
            records = List.copyOf(records);
        }
    }

    /** Where records come from. */
    enum Source {
        /** The log itself. */
        STORE,
        /** Another process that reads the log for this one as a rule. */
        PARENT,
        /** Another process, since the log did not answer this one. */
        SUBSTITUTE
    }

    /**
     * Records from one position on, in order.
     *
     * @param next where the next read starts; if its era is not the requested one, the records must be ignored
     * @param endOffset the offset behind the last record that the log had when it was asked
     * @param age how much earlier than the read itself the log was asked; negative if it was asked later
     */
    record Records(List<KeyedRecord> records, LogPosition next, long endOffset, Duration age, Source source) {
        public Records {
            records = List.copyOf(records);
        }

        /** Creates an answer of the log itself, which holds only so many records in one answer. */
        public Records(List<KeyedRecord> records, LogPosition next, long endOffset) {
            this(records, next, endOffset, Duration.ZERO, Source.STORE);
        }

        /** Creates an answer of the log itself that leads to the log's end. */
        public Records(List<KeyedRecord> records, LogPosition next) {
            this(records, next, next.offset());
        }

        /** Returns whether the records lead to the end of the log; otherwise they say nothing of its present state. */
        public boolean reachesEnd() {
            return next.offset() >= endOffset;
        }

        /** Returns a copy whose age counts from a moment that lies the given time before the one at which it did. */
        public Records askedLater(Duration time) {
            return new Records(records, next, endOffset, age.minus(time), source);
        }
    }

    /** Reads the newest record of each key after the given key; an empty key starts at the first. */
    CompletableFuture<NewestPage> readNewest(String afterKey);

    /**
     * Reads the records from a position on, and waits at most the given time for the first. Fails with
     * {@code LogTrimmedException} if they are no longer kept.
     */
    CompletableFuture<Records> read(LogPosition from, Duration wait);
}
