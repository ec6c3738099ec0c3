package io.parsleycleat.core.connection.platform;

import java.util.List;

/** Consecutive records of a stream, with the bounds of what the log keeps. */
public record LogPage(long earliestOffset, long endOffset, List<LogEntry> entries) {
    public LogPage {
        entries = List.copyOf(entries);
    }

    /** Returns the offset to read next after this page, given the one that it was asked from. */
    public long nextOffset(long fromOffset) {
        return entries.isEmpty() ? fromOffset : entries.get(entries.size() - 1).offset() + 1;
    }
}
