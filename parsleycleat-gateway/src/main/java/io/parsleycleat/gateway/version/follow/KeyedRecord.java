package io.parsleycleat.gateway.version.follow;

import java.util.Objects;

/**
 * One record of a keyed log.
 *
 * @param value empty in a tombstone, which deletes the key
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; not copied, as one is created per record read.
public record KeyedRecord(String key, byte[] value, long offset) {
    public KeyedRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    /** Returns whether this record deletes its key. */
    public boolean isTombstone() {
        return value.length == 0;
    }
}
