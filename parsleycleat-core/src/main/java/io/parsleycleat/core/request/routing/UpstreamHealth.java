package io.parsleycleat.core.request.routing;

import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.wire.routing.ProbeAnswer;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What an entry has learned of the sides that it probed: which do not answer, which are leaving, and how many requests
 * it sent to each.
 *
 * <p>Created by the selector; safe to share between threads. State is kept for each side under a lock of its own.
 */
final class UpstreamHealth {
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(250);
    private static final int MAX_DOUBLINGS = 5;

    private final TimeSource time;
    private final Map<String, Side> sides = new ConcurrentHashMap<>();
    private final Map<String, Long> incarnations = new ConcurrentHashMap<>();

    UpstreamHealth(TimeSource time) {
        this.time = time;
    }

    /** Returns whether a side answered its last probe, or was not probed yet. */
    boolean isUsable(Vm vm) {
        Side side = sides.get(vm.name());
        return side == null || side.isUsable();
    }

    /** Returns whether an unusable side is due to be probed again; true once for each due time. */
    boolean claimTrial(Vm vm) {
        Side side = sides.get(vm.name());
        return side != null && side.claimTrial(time.monotonicNanos());
    }

    /** Returns whether an answer is of the newest side that is known for its upstream. */
    boolean isNewest(ProbeAnswer answer) {
        long known = incarnations.merge(answer.getUpstreamId(), answer.getSideIncarnation(), Math::max);
        return known == answer.getSideIncarnation();
    }

    /** Counts a probe that was not answered, or answered by a side that takes nothing. */
    void failed(Vm vm) {
        side(vm).failed(time.monotonicNanos());
    }

    /** Counts an answered probe. */
    void answered(Vm vm) {
        Side side = sides.get(vm.name());
        if (side != null) {
            side.answered();
        }
    }

    /** Counts a request that is sent to a side. */
    void sent(Vm vm) {
        side(vm).sent();
    }

    /** Returns how many requests were sent to a side so far. */
    long sentTotal(Vm vm) {
        Side side = sides.get(vm.name());
        return side == null ? 0 : side.sentTotal();
    }

    /** Forgets the sides that are no longer listed. */
    void retain(Collection<Vm> vms) {
        incarnations
                .keySet()
                .retainAll(new HashSet<>(vms.stream().map(Vm::upstreamId).toList()));
        sides.keySet().retainAll(new HashSet<>(vms.stream().map(Vm::name).toList()));
    }

    private Side side(Vm vm) {
        return sides.computeIfAbsent(vm.name(), name -> new Side());
    }

    /** One side. Each call holds its lock. */
    private static final class Side {
        private int failures;
        private long trialNanos;
        private long sent;

        synchronized boolean isUsable() {
            return failures == 0;
        }

        synchronized boolean claimTrial(long now) {
            if (failures == 0 || now - trialNanos < 0) {
                return false;
            }
            trialNanos = now + backoffNanos();
            return true;
        }

        synchronized void failed(long now) {
            trialNanos = now + backoffNanos();
            failures++;
        }

        private long backoffNanos() {
            return FIRST_BACKOFF.toNanos() << Math.min(failures, MAX_DOUBLINGS);
        }

        synchronized void answered() {
            failures = 0;
        }

        synchronized void sent() {
            sent++;
        }

        synchronized long sentTotal() {
            return sent;
        }
    }
}
