package io.parsleycleat.gateway.version.follow;

/**
 * A position in a log. A log that is restored from an older copy starts a new era, in which offsets are assigned again,
 * so positions of two eras cannot be compared.
 *
 * @param era how often the log was restored
 * @param offset the offset of the next record
 */
public record LogPosition(long era, long offset) {
    /** Returns the position that is the given number of records later. */
    public LogPosition plus(long records) {
        return new LogPosition(era, offset + records);
    }
}
