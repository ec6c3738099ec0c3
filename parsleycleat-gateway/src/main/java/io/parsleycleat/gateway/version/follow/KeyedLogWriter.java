package io.parsleycleat.gateway.version.follow;

import java.util.concurrent.CompletableFuture;

/** Writes to a log that keeps the newest record of each key. Implementations are safe to share between threads. */
@FunctionalInterface
public interface KeyedLogWriter {
    /** Writes a key's value, or deletes the key if the value is empty. */
    CompletableFuture<Void> write(String key, byte[] value);
}
