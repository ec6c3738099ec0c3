package io.parsleycleat.gateway.version.follow;

/**
 * A place in a log. A log that is restored from an older copy begins a new era, in which offsets are given out again,
 * so places of two eras cannot be compared.
 *
 * @param era counts how often the log was restored
 * @param offset the offset of the record that is next there
 */
public record LogPosition(long era, long offset) {
    /** Returns the place some records later. */
    public LogPosition plus(long records) {
        return new LogPosition(era, offset + records);
    }
}
