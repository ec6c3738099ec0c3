package io.parsleycleat.gateway.version.follow;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A log that keeps the newest record of each key. Implementations are safe to share between threads. */
public interface KeyedLog {
    /**
     * A part of the newest records.
     *
     * @param hasMore whether further keys follow the last one
     * @param end where the next record will be
     */
    record NewestPage(List<KeyedRecord> records, boolean hasMore, LogPosition end) {
        public NewestPage {
            records = List.copyOf(records);
        }
    }

    /**
     * Records from one offset on, in order.
     *
     * @param next where the next read goes on; in another era than asked for, the records say nothing
     * @param age the time since the log itself was asked, as of the answer
     * @param relayed whether another process answered that had read the log
     */
    record Records(List<KeyedRecord> records, LogPosition next, Duration age, boolean relayed) {
        public Records {
            records = List.copyOf(records);
        }

        /** Creates an answer of the log itself. */
        public Records(List<KeyedRecord> records, LogPosition next) {
            this(records, next, Duration.ZERO, false);
        }
    }

    /** Reads the newest record of each key after the given key; an empty key starts at the first. */
    CompletableFuture<NewestPage> readNewest(String afterKey);

    /**
     * Reads the records from a place on, waiting at most so long for the first. Fails with
     * {@code LogTrimmedException} when they are no longer kept.
     */
    CompletableFuture<Records> read(LogPosition from, Duration wait);
}
