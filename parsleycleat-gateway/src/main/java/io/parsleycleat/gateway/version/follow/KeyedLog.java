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

    /**
     * Records from one position on, in order.
     *
     * @param next where the next read starts; if its era is not the requested one, the records must be ignored
     * @param age the time between the request to the log itself and this answer
     * @param relayed whether the answer comes from another process that had read the log
     */
    record Records(List<KeyedRecord> records, LogPosition next, Duration age, boolean relayed) {
        public Records {
            records = List.copyOf(records);
        }

        /** Creates an answer that comes from the log itself. */
        public Records(List<KeyedRecord> records, LogPosition next) {
            this(records, next, Duration.ZERO, false);
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
