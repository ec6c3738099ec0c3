package io.parsleycleat.standin.platform;

/**
 * What the log stand-in allows and keeps. Immutable.
 *
 * @param appendsPerSecond appends taken a second; more are delayed, and refused when the delay grows too long
 * @param retentionRecords records kept of each stream
 * @param retentionMillis age up to which a record is kept
 * @param maxRecordBytes largest record taken
 */
public record LogOptions(double appendsPerSecond, int retentionRecords, long retentionMillis, int maxRecordBytes) {
    /** Several hundred appends a second, and nothing trimmed in an ordinary test. */
    public static final LogOptions DEFAULT = new LogOptions(400, 1_000_000, Long.MAX_VALUE, 1 << 20);

    public LogOptions {
        if (appendsPerSecond <= 0 || retentionRecords < 1 || retentionMillis < 1 || maxRecordBytes < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /** Returns a copy with another rate. */
    public LogOptions withAppendsPerSecond(double newAppendsPerSecond) {
        return new LogOptions(newAppendsPerSecond, retentionRecords, retentionMillis, maxRecordBytes);
    }

    /** Returns a copy that keeps another number of records. */
    public LogOptions withRetentionRecords(int newRetentionRecords) {
        return new LogOptions(appendsPerSecond, newRetentionRecords, retentionMillis, maxRecordBytes);
    }

    /** Returns a copy that keeps records for another time. */
    public LogOptions withRetentionMillis(long newRetentionMillis) {
        return new LogOptions(appendsPerSecond, retentionRecords, newRetentionMillis, maxRecordBytes);
    }

    /** Returns a copy that takes records up to another size. */
    public LogOptions withMaxRecordBytes(int newMaxRecordBytes) {
        return new LogOptions(appendsPerSecond, retentionRecords, retentionMillis, newMaxRecordBytes);
    }
}
