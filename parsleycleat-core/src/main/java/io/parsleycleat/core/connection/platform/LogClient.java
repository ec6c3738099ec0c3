package io.parsleycleat.core.connection.platform;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.process.result.LogTrimmedException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log.
 *
 * <p>One a process; implementations are safe to share between threads.
 */
public interface LogClient {
    /**
     * Appends records to a stream and returns the offset of the first. A failed call may have taken effect.
     */
    CompletableFuture<Long> append(String stream, List<ByteString> values);

    /**
     * Reads records from an offset on, waiting up to the given time for the first. Fails with {@link
     * LogTrimmedException} when the log no longer keeps that offset.
     */
    CompletableFuture<LogPage> read(String stream, long fromOffset, int limit, Duration wait);
}
