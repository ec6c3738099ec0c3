package io.parsleycleat.core.request.outcome;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.LogPage;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A log whose caller is paused right after each append. */
record PausingLog(LogClient log, Runnable pause) implements LogClient {
    @Override
    public CompletableFuture<Long> append(String stream, List<ByteString> values) {
        return log.append(stream, values).whenComplete((offset, failure) -> pause.run());
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long fromOffset, int limit, Duration wait) {
        return log.read(stream, fromOffset, limit, wait);
    }
}
