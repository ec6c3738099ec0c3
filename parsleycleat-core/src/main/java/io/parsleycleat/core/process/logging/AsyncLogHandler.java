package io.parsleycleat.core.process.logging;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.jspecify.annotations.Nullable;

/**
 * Writes log records on a thread of its own, from a bounded queue. Records that find the queue full are dropped and
 * counted, so that logging never holds up who logs.
 *
 * <p>Created by {@link Logging}; safe to share between threads.
 */
public final class AsyncLogHandler extends Handler {
    private static final int MAX_QUEUED = 4_096;
    private static final long CLOSE_TIMEOUT_MILLIS = 300;

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;
    private final Thread writer;
    private volatile boolean closed;

    AsyncLogHandler(PrintStream out) {
        this.out = out;
        this.writer = new Thread(this::run, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Returns how many records were dropped. */
    public long dropped() {
        return dropped.get();
    }

    @Override
    public void publish(LogRecord entry) {
        if (isLoggable(entry) && !queue.offer(entry)) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        out.flush();
    }

    /** Writes what is queued, as far as that is done in a short time. */
    @Override
    public void close() {
        closed = true;
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long reported = 0;
        LogRecord next = take();
        while (next != null) {
            StringBuilder lines = new StringBuilder();
            while (next != null) {
                lines.append(getFormatter().format(next));
                next = queue.poll();
            }
            long lost = dropped.get();
            if (lost != reported) {
                reported = lost;
                lines.append(getFormatter().format(new LogRecord(Level.WARNING, lost + " log records were dropped")));
            }
            out.print(lines);
            out.flush();
            next = take();
        }
    }

    /** Waits for a record; returns nothing once the handler is closed and all is written. */
    private @Nullable LogRecord take() {
        try {
            LogRecord next = null;
            while (next == null && !(closed && queue.isEmpty())) {
                next = closed ? queue.poll() : queue.poll(1, TimeUnit.SECONDS);
            }
            return next;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }
}
