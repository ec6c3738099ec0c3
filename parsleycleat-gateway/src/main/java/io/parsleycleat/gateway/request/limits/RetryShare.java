package io.parsleycleat.gateway.request.limits;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Limits the retries of this entry to its share of each service's retry budget.
 *
 * <p>Within a window, a service may get retries up to a ratio of the requests for it plus a fixed number for the whole
 * fleet. An entry applies the ratio to its own requests and takes half of an equal part of the fixed number.
 *
 * <p>One instance per entry; guarded by its own lock.
 */
public final class RetryShare {
    private final Bounds bounds;
    private final TimeSource time;
    private final IntSupplier entryCount;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * The retry budget of a service over the whole fleet.
     *
     * @param ratio the retries per request
     * @param extraRetries the retries beyond the ratio, for the whole fleet
     * @param window the time over which both are counted
     */
    public record Bounds(double ratio, double extraRetries, Duration window) {}

    /** The times of the requests and retries of a service in the last window. */
    private static final class Window {
        private final Deque<Long> requestNanos = new ArrayDeque<>();
        private final Deque<Long> retryNanos = new ArrayDeque<>();

        void removeBefore(long nanos) {
            removeTimesBefore(requestNanos, nanos);
            removeTimesBefore(retryNanos, nanos);
        }

        private static void removeTimesBefore(Deque<Long> times, long nanos) {
            while (!times.isEmpty() && times.peekFirst() - nanos < 0) {
                times.removeFirst();
            }
        }
    }

    /**
     * Creates an instance without recorded requests.
     *
     * @param entryCount returns the current number of entries that share the budget; an entry takes only half of its
     *     equal part because it counts from zero again after a restart
     */
    public RetryShare(Bounds bounds, TimeSource time, IntSupplier entryCount) {
        this.bounds = bounds;
        this.time = time;
        this.entryCount = entryCount;
    }

    /** Counts a request for a service. */
    public synchronized void onRequest(String service) {
        currentWindow(service).requestNanos.addLast(time.monotonicNanos());
    }

    /** Takes one retry from the share of a service; returns whether there was one. */
    public synchronized boolean tryRetry(String service) {
        if (!hasRetry(service)) {
            return false;
        }
        currentWindow(service).retryNanos.addLast(time.monotonicNanos());
        return true;
    }

    /** Returns whether the share of a service has a retry left. */
    public synchronized boolean hasRetry(String service) {
        Window window = currentWindow(service);
        double allowed = bounds.ratio() * window.requestNanos.size()
                + bounds.extraRetries() / 2 / Math.max(1, entryCount.getAsInt());
        return window.retryNanos.size() + 1 <= allowed;
    }

    /** Describes the state of a service's share, for logs. */
    public synchronized String describe(String service) {
        Window window = currentWindow(service);
        return "%d repeats for %d requests in the window, %d entries known"
                .formatted(window.retryNanos.size(), window.requestNanos.size(), entryCount.getAsInt());
    }

    private Window currentWindow(String service) {
        Window window = windows.computeIfAbsent(service, s -> new Window());
        window.removeBefore(time.monotonicNanos() - bounds.window().toNanos());
        return window;
    }
}
