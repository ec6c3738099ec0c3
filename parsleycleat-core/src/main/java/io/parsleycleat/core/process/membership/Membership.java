package io.parsleycleat.core.process.membership;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.connection.platform.VmList;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The newest VM list that this process has read.
 *
 * <p>Created once by the process; safe to share between threads.
 */
public final class Membership {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final VmList vmList;
    private final TimeSource time;
    private volatile List<Vm> vms = List.of();
    private volatile long readNanos;
    private volatile boolean read;

    /** Creates a membership that knows no VM yet. */
    public Membership(VmList vmList, TimeSource time) {
        this.vmList = vmList;
        this.time = time;
    }

    /** Reads the list now and then at every interval. */
    public void start(ScheduledExecutorService scheduler, Duration interval) {
        scheduler.scheduleWithFixedDelay(this::refresh, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Reads the list once. */
    public void refresh() {
        vmList.read().whenComplete((list, failure) -> {
            if (failure != null) {
                logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log("the VM list cannot be read: %s", failure);
            } else {
                vms = List.copyOf(list);
                readNanos = time.monotonicNanos();
                read = true;
            }
        });
    }

    /** Returns all VMs of the newest list. */
    public List<Vm> vms() {
        return vms;
    }

    /** Returns the VMs with a role. */
    public List<Vm> vms(ProcessRole role) {
        return vms.stream().filter(vm -> vm.role() == role).toList();
    }

    /** Returns the VM with a name. */
    public Optional<Vm> vm(String name) {
        return vms.stream().filter(vm -> vm.name().equals(name)).findFirst();
    }

    /** Returns whether the list was read at least once. */
    public boolean isRead() {
        return read;
    }

    /** Returns how long ago the list was read; meaningless before {@link #isRead()}. */
    public Duration age() {
        return Duration.ofNanos(time.monotonicNanos() - readNanos);
    }
}
