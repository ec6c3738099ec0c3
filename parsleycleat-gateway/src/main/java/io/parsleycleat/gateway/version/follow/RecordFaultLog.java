package io.parsleycleat.gateway.version.follow;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.ParsleycleatException;
import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * Logs the records of a log that could not be used. A key is logged once until a usable record replaces it. Of many
 * records in a short time only the first are logged, and the others counted.
 *
 * <p>Created by {@link LogFollower}; safe to share between threads.
 */
final class RecordFaultLog {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_LINES_PER_INTERVAL = 20;
    private static final Duration INTERVAL = Duration.ofMinutes(1);
    /** Number of keys that are remembered as logged; further keys are only counted. */
    private static final int MAX_REMEMBERED_KEYS = 1_000;

    private final String logName;
    private final TimeSource time;
    private final Set<String> loggedKeys = new HashSet<>();
    private long intervalStartNanos;
    private int lines;
    private int notLogged;

    RecordFaultLog(String logName, TimeSource time) {
        this.logName = logName;
        this.time = time;
        this.intervalStartNanos = time.monotonicNanos();
    }

    /** Records that a key's newest record could be used. */
    synchronized void onUsed(String key) {
        loggedKeys.remove(key);
    }

    /** Logs that a record could not be used. */
    synchronized void onFault(KeyedRecord record, Throwable fault) {
        startIntervalIfOver();
        if (loggedKeys.contains(record.key())) {
            return;
        }
        if (lines >= MAX_LINES_PER_INTERVAL || loggedKeys.size() >= MAX_REMEMBERED_KEYS) {
            notLogged++;
            return;
        }
        loggedKeys.add(record.key());
        lines++;
        boolean expected = fault instanceof ParsleycleatException;
        logger.atWarning()
                .withCause(expected ? null : fault)
                .with(LogKeys.OFFSET, record.offset())
                .log(
                        "%s: the record %s of %d bytes is not used: %s%s",
                        logName,
                        record.key(),
                        record.value().length,
                        fault,
                        lines < MAX_LINES_PER_INTERVAL ? "" : "; further records are only counted for a while");
    }

    private void startIntervalIfOver() {
        long now = time.monotonicNanos();
        if (now - intervalStartNanos < INTERVAL.toNanos()) {
            return;
        }
        if (notLogged > 0) {
            logger.atWarning().log("%s: %d further records could not be used", logName, notLogged);
        }
        intervalStartNanos = now;
        lines = 0;
        notLogged = 0;
    }
}
