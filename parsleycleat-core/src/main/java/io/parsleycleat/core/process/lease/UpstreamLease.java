package io.parsleycleat.core.process.lease;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.core.process.lease.StartRecords.Claimant;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.LogTrimmedException;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.wire.escrow.MembershipRecord;
import io.parsleycleat.wire.escrow.SideStart;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A side's claim on its upstream.
 *
 * <p>The newest start record in the membership stream has the upstream. A side holds its claim for a bounded time after
 * it last knew that there was no newer one: from its own reading, or from a peer. It appends one record in its life and
 * nothing to renew. Before an upstream that does not check fencing numbers, a new side waits until the claim of every
 * earlier one must have lapsed.
 *
 * <p>While the log is out no other side can make a claim that it has read back. A side that goes on without a pause,
 * and whose VM the platform still lists beside the upstream, keeps its claim then.
 *
 * <p>Created once by a side; safe to share between threads.
 */
public final class UpstreamLease {
    /** The stream of start records. */
    public static final String STREAM = "membership";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final int PAGE_RECORDS = 500;

    private final LogClient log;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private final String upstreamId;
    private final Claimant self;
    private final boolean upstreamChecksFencing;
    private final LeaseSettings settings;
    private final CompletableFuture<Long> acquired = new CompletableFuture<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private final StartRecords records;
    private long nextOffset;
    private boolean trimmed;
    private boolean waiting;
    private boolean active;
    private boolean superseded;
    private boolean closed;
    private boolean logUnreadable;
    private long confirmedNanos;

    /** Creates a claim that is not made yet. */
    public UpstreamLease(
            LogClient log,
            TimeSource time,
            ScheduledExecutorService scheduler,
            SideStart start,
            boolean upstreamChecksFencing,
            LeaseSettings settings) {
        this.log = log;
        this.time = time;
        this.scheduler = scheduler;
        this.upstreamId = start.getUpstreamId();
        this.self = new Claimant(start.getVmName(), start.getIncarnation());
        this.upstreamChecksFencing = upstreamChecksFencing;
        this.settings = settings;
        this.records = new StartRecords(upstreamId);
    }

    // Public

    /** Makes the claim, again and again while the log is out. Completes with the fencing number once it is held. */
    public CompletableFuture<Long> acquire() {
        append();
        return acquired;
    }

    /** Returns the number that upstreams compare, or 0 before the claim is made. */
    public synchronized long fencingNumber() {
        return records.fencingNumber(self);
    }

    /** Returns whether the upstream is this side's right now. Asked right before each order and each run. */
    public synchronized boolean isHeld() {
        return active && !superseded && !closed && isFresh();
    }

    /** Returns whether a newer side has the upstream; this one will never hold it again. */
    public synchronized boolean isSuperseded() {
        return superseded;
    }

    /**
     * Takes a peer's word on the newest claim that it knew at some time before now. Entries follow the membership
     * stream, so that a side that serves requests need not read the log to keep its claim.
     */
    public void onPeerKnows(long newestFencingNumber, Duration age) {
        boolean lost;
        synchronized (this) {
            long own = records.fencingNumber(self);
            lost = own > 0 && newestFencingNumber > own && !superseded;
            if (newestFencingNumber == own && own > 0) {
                confirm(time.monotonicNanos() - age.toNanos());
            }
        }
        if (lost) {
            supersede();
        }
    }

    /**
     * Takes the VM list's word that this side's VM is still the one beside the upstream, as of some time before now.
     *
     * <p>It counts only while the log cannot be read, and only for a claim that has not lapsed, so that a side that
     * was frozen reads the log before it goes on.
     */
    public synchronized void onVmListed(Duration age) {
        if (active && !superseded && logUnreadable && isFresh()) {
            confirm(time.monotonicNanos() - age.toNanos());
        }
    }

    /** Runs an action when a newer side has the upstream; at once when that is so already. */
    public void onSuperseded(Runnable action) {
        boolean now;
        synchronized (this) {
            now = superseded;
            if (!now) {
                listeners.add(action);
            }
        }
        if (now) {
            action.run();
        }
    }

    /** Gives the claim up at once. */
    public synchronized void close() {
        closed = true;
    }

    // Claim

    private void append() {
        SideStart start = SideStart.newBuilder()
                .setUpstreamId(upstreamId)
                .setVmName(self.vmName())
                .setIncarnation(self.incarnation())
                .setTimeMillis(time.wallMillis())
                .build();
        ByteString value =
                MembershipRecord.newBuilder().setSideStart(start).build().toByteString();
        // Whether or not the append was answered, only reading tells where the record stands.
        log.append(STREAM, List.of(value)).whenComplete((offset, failure) -> read());
    }

    private void read() {
        long from;
        synchronized (this) {
            if (closed || superseded) {
                return;
            }
            from = nextOffset;
        }
        long askedNanos = time.monotonicNanos();
        log.read(STREAM, from, PAGE_RECORDS, Duration.ZERO).whenComplete((page, failure) -> {
            if (failure == null) {
                onPage(page, askedNanos);
            } else {
                onReadFailed(failure);
            }
        });
    }

    private void onPage(LogPage page, long askedNanos) {
        boolean more;
        boolean present;
        boolean newest;
        synchronized (this) {
            logUnreadable = false;
            page.entries().stream().filter(e -> e.offset() >= nextOffset).forEach(e -> {
                records.apply(e);
                nextOffset = e.offset() + 1;
            });
            more = nextOffset < page.endOffset();
            present = records.contains(self);
            newest = records.isNewest(self);
            if (!more && newest) {
                confirm(askedNanos);
            }
        }
        if (more) {
            read();
        } else if (!present) {
            later(RETRY_DELAY, this::append);
        } else if (newest) {
            activate();
            later(settings.renewal(), this::renew);
        } else {
            supersede();
        }
    }

    private void onReadFailed(Throwable failure) {
        if (Failures.unwrap(failure) instanceof LogTrimmedException e) {
            synchronized (this) {
                trimmed = true;
                nextOffset = Math.max(nextOffset, e.earliestOffset());
            }
            read();
            return;
        }
        logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log("the membership stream cannot be read: %s", failure);
        boolean present;
        synchronized (this) {
            logUnreadable = true;
            present = records.contains(self);
        }
        later(RETRY_DELAY, present ? this::renew : this::append);
    }

    /** Starts to hold the upstream, after the wait for earlier sides. */
    private void activate() {
        boolean wait;
        synchronized (this) {
            if (active || waiting) {
                return;
            }
            boolean alone = records.size() == 1 && !trimmed;
            wait = !upstreamChecksFencing && !alone;
            waiting = wait;
        }
        if (wait) {
            later(settings.duration().plus(settings.margin()), this::begin);
        } else {
            begin();
        }
    }

    private void begin() {
        long number;
        synchronized (this) {
            if (closed || superseded) {
                return;
            }
            active = true;
            number = records.fencingNumber(self);
        }
        acquired.complete(number);
    }

    private void renew() {
        long left;
        synchronized (this) {
            long age = time.monotonicNanos() - confirmedNanos;
            left = settings.renewal().toNanos() - age;
        }
        if (left > 0) {
            later(Duration.ofNanos(left), this::renew);
        } else {
            read();
        }
    }

    private void supersede() {
        List<Runnable> actions;
        synchronized (this) {
            superseded = true;
            actions = List.copyOf(listeners);
            listeners.clear();
        }
        logger.atWarning().log("a newer side has upstream %s", upstreamId);
        actions.forEach(Runnable::run);
    }

    private boolean isFresh() {
        return time.monotonicNanos() - confirmedNanos < settings.duration().toNanos();
    }

    private void confirm(long asOfNanos) {
        if (confirmedNanos == 0 || asOfNanos - confirmedNanos > 0) {
            confirmedNanos = asOfNanos;
        }
    }

    private void later(Duration delay, Runnable action) {
        scheduler.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
