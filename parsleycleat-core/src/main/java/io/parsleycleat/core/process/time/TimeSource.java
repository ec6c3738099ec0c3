package io.parsleycleat.core.process.time;

/**
 * Tells the time.
 *
 * <p>Created once by the process, or by a test that moves time itself. Safe to share between threads.
 */
public interface TimeSource {
    /** The machine's clocks. */
    TimeSource SYSTEM = new TimeSource() {
        @Override
        public long wallMillis() {
            return System.currentTimeMillis();
        }

        @Override
        public long monotonicNanos() {
            return System.nanoTime();
        }
    };

    /** Returns milliseconds since 1970, comparable between machines within their clock error. */
    long wallMillis();

    /** Returns nanoseconds since an arbitrary point, never running backwards. */
    long monotonicNanos();
}
