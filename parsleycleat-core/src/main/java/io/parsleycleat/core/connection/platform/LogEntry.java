package io.parsleycleat.core.connection.platform;

import com.google.protobuf.ByteString;
import java.util.Objects;

/** A record of the log with its offset and the log's time of the append. */
public record LogEntry(long offset, long timeMillis, ByteString value) {
    public LogEntry {
        Objects.requireNonNull(value, "value");
    }
}
