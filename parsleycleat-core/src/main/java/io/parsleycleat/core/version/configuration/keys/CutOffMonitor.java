package io.parsleycleat.core.version.configuration.keys;

import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Knows how long ago this process heard from the log, the VM list and other processes.
 *
 * <p>Created once by the process; safe to share between threads. A process counts as having heard from everyone when it
 * starts, which is harmless since it is not ready before it has a configuration.
 */
public final class CutOffMonitor {
    private final TimeSource time;
    private final Membership membership;
    private final String dataCentre;
    private final Duration bound;
    private final AtomicLong anyoneNanos;
    private final AtomicLong outsideNanos;

    /**
     * Creates a monitor.
     *
     * @param dataCentre the process's own
     * @param bound how long a process may hear nothing before it counts as cut off
     */
    public CutOffMonitor(TimeSource time, Membership membership, String dataCentre, Duration bound) {
        this.time = time;
        this.membership = membership;
        this.dataCentre = dataCentre;
        this.bound = bound;
        anyoneNanos = new AtomicLong(time.monotonicNanos());
        outsideNanos = new AtomicLong(time.monotonicNanos());
    }

    /**
     * Notes an answer of the log that leads to its end, and so tells of all withdrawals that were made before.
     *
     * @param sentNanos when the log was asked
     */
    public void heardLogToItsEnd(long sentNanos) {
        advance(anyoneNanos, time.monotonicNanos());
        advance(outsideNanos, sentNanos);
    }

    /** Notes any other answer of the log. It need not tell of withdrawals, so that keys may still be refused. */
    public void heardLog() {
        advance(anyoneNanos, time.monotonicNanos());
    }

    /** Notes a frame of another process. It need not tell of withdrawals, so that keys may still be refused. */
    public void heardPeer() {
        advance(anyoneNanos, time.monotonicNanos());
    }

    /**
     * Notes that another process told all that it knows.
     *
     * @param contactAge how long ago that process heard from the log or another data centre
     */
    public void learntFromPeer(String peerDataCentre, Duration contactAge) {
        advance(anyoneNanos, time.monotonicNanos());
        boolean outside = !peerDataCentre.equals(dataCentre) || isOnlyDataCentre();
        advance(outsideNanos, time.monotonicNanos() - (outside ? 0 : contactAge.toNanos()));
    }

    /** Returns how long ago this process, or whom it learnt from, read the log to its end or heard from outside. */
    public Duration contactAge() {
        return Duration.ofNanos(Math.max(0, time.monotonicNanos() - outsideNanos.get()));
    }

    /** Returns whether the process has heard from nobody for longer than the bound. */
    public boolean isCutOff() {
        boolean vmListHeard = membership.isRead() && membership.age().compareTo(bound) <= 0;
        return !vmListHeard && isOlder(anyoneNanos);
    }

    /** Returns whether neither the log's end nor another data centre was heard of for longer than the bound. */
    public boolean isIsolated() {
        return isOlder(outsideNanos);
    }

    /** Returns whether keys must be refused under a policy. */
    public boolean refusesKeys(CutOffPolicy policy) {
        return policy == CutOffPolicy.REFUSE_ISOLATED_GROUP ? isIsolated() : isCutOff();
    }

    /** Returns how long a process may hear nothing. */
    public Duration bound() {
        return bound;
    }

    private boolean isOnlyDataCentre() {
        return membership.vms().stream().allMatch(vm -> vm.dataCentre().equals(dataCentre));
    }

    private boolean isOlder(AtomicLong nanos) {
        return time.monotonicNanos() - nanos.get() > bound.toNanos();
    }

    private static void advance(AtomicLong nanos, long now) {
        nanos.accumulateAndGet(now, (old, candidate) -> candidate - old > 0 ? candidate : old);
    }

    @Override
    public String toString() {
        return "last word from outside "
                + TimeUnit.NANOSECONDS.toMillis(contactAge().toNanos()) + " ms ago";
    }
}
