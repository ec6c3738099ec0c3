package io.parsleycleat.gateway.version.follow;

import java.util.Objects;

/**
 * One record of a keyed log.
 *
 * @param value empty when the record drops the key
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; created for each record that is read.
public record KeyedRecord(String key, byte[] value, long offset) {
    public KeyedRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    /** Returns whether the key has no value any more. */
    public boolean isTombstone() {
        return value.length == 0;
    }
}
