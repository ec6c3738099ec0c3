package io.parsleycleat.gateway.request.limits;

import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * Limits the repeats of this entry so that all entries together keep the retry budget of each service: in any window a
 * service gets at most the fixed number of repeats plus the ratio times the requests for it.
 *
 * <p>Repeats are earned. Each request adds a part of the ratio, and what is not used is held up to a limit, which is an
 * equal part of the fixed number plus the rest of the ratio for each request of the last window. So an entry sends no
 * more in any window than it held at the beginning and earned in it, and these add up over the entries. A process
 * begins with nothing, so a restart gives no repeats that its predecessor may have sent already.
 *
 * <p>A repeat counts as held until it is sent, since its request may wait for an upstream meanwhile.
 *
 * <p>One instance per entry; guarded by its own lock.
 */
public final class RetryShare {
    /** Part of the ratio that limits what is held; the rest is earned. A burst can use what is held at once. */
    private static final double HELD_PART = 0.25;
    /** Part of the fixed number that is held; the other part covers repeats that arrive later than they are sent. */
    private static final double FIXED_PART = 0.5;

    private final Bounds bounds;
    private final TimeSource time;
    private final IntSupplier entryCount;
    private final Map<String, ServiceState> services = new HashMap<>();

    /**
     * The retry budget of a service over the whole fleet.
     *
     * @param ratio the retries per request
     * @param extraRetries the retries beyond the ratio, for the whole fleet
     * @param window the time over which both are counted
     */
    public record Bounds(double ratio, double extraRetries, Duration window) {}

    /** The requests of a service in the last window, and the repeats that may be sent now. */
    private static final class ServiceState {
        private final Deque<Long> requestNanos = new ArrayDeque<>();
        private double available;
        private int reserved;

        void removeRequestsBefore(long nanos) {
            while (!requestNanos.isEmpty() && requestNanos.peekFirst() - nanos < 0) {
                requestNanos.removeFirst();
            }
        }
    }

    /**
     * A repeat that is reserved for one send.
     *
     * <p>Created by {@link RetryShare}; exactly one of its methods is called.
     */
    public final class Repeat {
        private final ServiceState state;

        private Repeat(ServiceState state) {
            this.state = state;
        }

        /** Records that the request is sent again. */
        public void onSent() {
            synchronized (RetryShare.this) {
                state.reserved--;
            }
        }

        /** Returns the repeat, since the request is not sent again. */
        public void release() {
            synchronized (RetryShare.this) {
                state.reserved--;
                state.available++;
            }
        }
    }

    /**
     * Creates an instance that holds no repeats.
     *
     * @param entryCount returns the number of entries that share the budget, this one included; 0 while the others are
     *     not known yet
     */
    public RetryShare(Bounds bounds, TimeSource time, IntSupplier entryCount) {
        this.bounds = bounds;
        this.time = time;
        this.entryCount = entryCount;
    }

    /** Counts a request for a service, which earns a part of a repeat. */
    public synchronized void onRequest(String service) {
        ServiceState state = currentState(service);
        state.requestNanos.addLast(time.monotonicNanos());
        double earned = state.available + bounds.ratio() * (1 - HELD_PART);
        state.available = Math.min(earned, maxHeld(state) - state.reserved);
    }

    /** Reserves a repeat for a service, if one is left. */
    public synchronized Optional<Repeat> tryReserve(String service) {
        if (!hasRepeat(service)) {
            return Optional.empty();
        }
        ServiceState state = currentState(service);
        state.available--;
        state.reserved++;
        return Optional.of(new Repeat(state));
    }

    /** Returns whether a repeat for a service is left. */
    public synchronized boolean hasRepeat(String service) {
        return currentState(service).available >= 1;
    }

    /** Describes the state of a service's share, for logs. */
    public synchronized String describe(String service) {
        ServiceState state = currentState(service);
        return "%.1f repeats left, %d reserved, %d requests in the window, %d entries"
                .formatted(state.available, state.reserved, state.requestNanos.size(), entryCount.getAsInt());
    }

    private ServiceState currentState(String service) {
        ServiceState state = services.computeIfAbsent(service, s -> new ServiceState());
        state.removeRequestsBefore(time.monotonicNanos() - bounds.window().toNanos());
        state.available = Math.min(state.available, maxHeld(state) - state.reserved);
        return state;
    }

    /** Returns how many repeats may be held, those that are reserved included. */
    private double maxHeld(ServiceState state) {
        int entries = entryCount.getAsInt();
        double fixed = entries == 0 ? 0 : FIXED_PART * bounds.extraRetries() / entries;
        return fixed + HELD_PART * bounds.ratio() * state.requestNanos.size();
    }
}
