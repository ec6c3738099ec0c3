package io.parsleycleat.gateway.request.limits;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * This entry's share of the fleet's budget for repeats, for each service.
 *
 * <p>In a window, a service may get repeats up to a ratio of the requests for it plus a fixed number for the fleet. An
 * entry counts the ratio from its own requests and takes an equal part of the fixed number.
 *
 * <p>One an entry; guarded by its own lock.
 */
public final class RetryShare {
    private final Bounds bounds;
    private final TimeSource time;
    private final IntSupplier entries;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * The fleet's budget.
     *
     * @param ratio repeats for each request
     * @param extra repeats beside the ratio, over the fleet
     * @param window the length of time over which both are counted
     */
    public record Bounds(double ratio, double extra, Duration window) {}

    /** What happened in the last window. */
    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> repeats = new ArrayDeque<>();

        void forgetBefore(long nanos) {
            forget(requests, nanos);
            forget(repeats, nanos);
        }

        private static void forget(Deque<Long> times, long nanos) {
            while (!times.isEmpty() && times.peekFirst() - nanos < 0) {
                times.removeFirst();
            }
        }
    }

    /**
     * Creates a share without a past.
     *
     * @param entries how many entries share the budget, as of now; entries that restart count anew, which is why each
     *     takes only half of its equal part
     */
    public RetryShare(Bounds bounds, TimeSource time, IntSupplier entries) {
        this.bounds = bounds;
        this.time = time;
        this.entries = entries;
    }

    /** Counts a request for a service. */
    public synchronized void onRequest(String service) {
        current(service).requests.addLast(time.monotonicNanos());
    }

    /** Takes one repeat out of the share, if there is one. */
    public synchronized boolean tryRetry(String service) {
        Window window = current(service);
        double allowed = bounds.ratio() * window.requests.size() + bounds.extra() / 2 / Math.max(1, entries.getAsInt());
        if (window.repeats.size() + 1 > allowed) {
            return false;
        }
        window.repeats.addLast(time.monotonicNanos());
        return true;
    }

    private Window current(String service) {
        Window window = windows.computeIfAbsent(service, s -> new Window());
        window.forgetBefore(time.monotonicNanos() - bounds.window().toNanos());
        return window;
    }
}
