package io.parsleycleat.core.process.result;

/** Thrown when a reader asks for records that the log no longer keeps. */
public final class LogTrimmedException extends ParsleycleatException {
    private static final long serialVersionUID = 1L;

    private final long earliestOffset;

    /** Creates an exception for a stream whose records now start at an offset. */
    public LogTrimmedException(String stream, long fromOffset, long earliestOffset) {
        super(
                ResultCode.LOG_TRIMMED,
                "offset " + fromOffset + " was asked for, records start at " + earliestOffset,
                Location.of(stream));
        this.earliestOffset = earliestOffset;
    }

    /** Returns the offset of the first record that the log still keeps. */
    public long earliestOffset() {
        return earliestOffset;
    }
}
