package io.parsleycleat.core.process.membership;

import io.parsleycleat.core.connection.platform.Vm;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * When each VM was last listed and last heard from.
 *
 * <p>Created by {@link EpochKeeper}; safe to share between threads.
 */
final class Sightings {
    private final long startNanos;
    private final Map<String, Long> listed = new ConcurrentHashMap<>();
    private final Map<String, Long> heard = new ConcurrentHashMap<>();
    private volatile List<Vm> newest = List.of();
    private volatile long readNanos;
    private volatile boolean read;

    Sightings(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Notes a read of the VM list; returns whether it is a new one. */
    boolean listRead(List<Vm> vms, long atNanos) {
        boolean isNew = !read || atNanos - readNanos > 0;
        if (isNew) {
            newest = vms;
            readNanos = atNanos;
            read = true;
            vms.forEach(vm -> listed.put(vm.name(), atNanos));
        }
        return isNew;
    }

    /** Notes a message from a VM. */
    void heardFrom(String vmName, long now) {
        heard.merge(vmName, now, Math::max);
    }

    /** Returns whether the newest list shows a VM. */
    boolean isListed(String vmName) {
        return newest.stream().anyMatch(vm -> vm.name().equals(vmName));
    }

    /** Returns whether the list was read within a time. */
    boolean isListFresh(Duration age, long now) {
        return read && now - readNanos <= age.toNanos();
    }

    /** Returns for how long this process has seen a VM neither listed nor sending. */
    Duration gone(String vmName, Duration freshness, long now) {
        if (!isListFresh(freshness, now) || isListed(vmName)) {
            return Duration.ZERO;
        }
        long seen = Math.max(listed.getOrDefault(vmName, startNanos), heard.getOrDefault(vmName, startNanos));
        return Duration.ofNanos(now - seen);
    }

    /** Returns for how long this process has not heard from a VM. */
    Duration silence(String vmName, long now) {
        return Duration.ofNanos(now - heard.getOrDefault(vmName, startNanos));
    }
}
