package io.parsleycleat.standin.measure.configuration;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.LogPage;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the reads of a log and the bytes of their records.
 *
 * <p>Created by {@link MeasuredFleet} for all its stores; safe to share between threads.
 */
final class CountingLogClient implements LogClient {
    private static final int HTTP_BYTES_PER_READ = 400;
    private static final int JSON_BYTES_PER_RECORD = 60;

    private final LogClient log;
    private final LongAdder reads = new LongAdder();
    private final LongAdder bytes = new LongAdder();

    CountingLogClient(LogClient log) {
        this.log = log;
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<ByteString> values) {
        return log.append(stream, values);
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long fromOffset, int limit, Duration wait) {
        return log.read(stream, fromOffset, limit, wait).whenComplete((page, failure) -> {
            reads.increment();
            bytes.add(HTTP_BYTES_PER_READ);
            if (page != null) {
                page.entries()
                        .forEach(
                                e -> bytes.add(JSON_BYTES_PER_RECORD + e.value().size() * 4L / 3));
            }
        });
    }

    long reads() {
        return reads.sum();
    }

    long bytes() {
        return bytes.sum();
    }
}
