package io.parsleycleat.core.request.queue;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A bounded queue that is fair between accounts.
 *
 * <p>Created once by the side; safe to share between threads. Paying runs go before free ones, accounts take turns in
 * tokens by their weight, and at most one run that is suspected of crashing upstreams runs at a time. The actions of
 * runs are called outside the lock.
 */
public final class FairRunQueue implements RunQueue {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration MIN_RETRY = Duration.ofMillis(100);
    private static final double SMOOTHING = 0.1;

    private record Running(QueuedRun run, long startedNanos) {}

    private final QueueSettings settings;
    private final TimeSource time;
    private final Timer waits;
    private final Meter refusals;
    private final Meter starts;

    private final Object lock = new Object();
    private final RunOrder paying;
    private final RunOrder free;
    private final Map<String, QueuedRun> waiting = new LinkedHashMap<>();
    private final Map<String, Long> offeredNanos = new HashMap<>();
    private final Map<String, Running> running = new HashMap<>();
    private double runNanos;
    private boolean closed;

    /** Creates an empty queue. */
    public FairRunQueue(QueueSettings settings, TimeSource time, MetricRegistry metrics) {
        this.settings = settings;
        this.time = time;
        this.paying = settings.policy() == QueuePolicy.FAIR ? new FairOrder(settings.quantumTokens()) : new FifoOrder();
        this.free = new FairOrder(settings.quantumTokens());
        this.runNanos = settings.initialRunTime().toNanos();
        this.waits = metrics.timer("queue.wait");
        this.refusals = metrics.meter("queue.refusals");
        this.starts = metrics.meter("queue.starts");
        metrics.gauge("queue.waiting", () -> this::waiting);
        metrics.gauge("queue.running", () -> this::running);
    }

    /** Looks for runs that cannot start before their deadline at every interval. */
    public void start(ScheduledExecutorService scheduler, Duration interval) {
        scheduler.scheduleWithFixedDelay(this::expire, interval.toMillis(), interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Gives no further turns; runs that have theirs go on. */
    public void close() {
        synchronized (lock) {
            closed = true;
        }
    }

    // Queue

    @Override
    public Optional<Refusal> offer(QueuedRun run) {
        List<Runnable> after = new ArrayList<>();
        Optional<Refusal> refusal;
        synchronized (lock) {
            refusal = refuse(run);
            if (refusal.isEmpty()) {
                waiting.put(run.runId(), run);
                offeredNanos.put(run.runId(), time.monotonicNanos());
                orderOf(run).add(run);
                startNext(after);
            }
        }
        refusal.ifPresent(r -> refusals.mark());
        after.forEach(FairRunQueue::runGuarded);
        return refusal;
    }

    @Override
    public boolean cancel(String runId) {
        List<Runnable> after = new ArrayList<>();
        boolean removed;
        synchronized (lock) {
            QueuedRun run = waiting.get(runId);
            removed = run != null;
            if (run != null) {
                removeWaiting(run);
                startNext(after);
            }
        }
        after.forEach(FairRunQueue::runGuarded);
        return removed;
    }

    @Override
    public void finished(String runId, int usedTokens) {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            Running ended = running.remove(runId);
            if (ended == null) {
                return;
            }
            QueuedRun run = ended.run();
            runNanos += SMOOTHING * (time.monotonicNanos() - ended.startedNanos() - runNanos);
            orderOf(run).settle(run.accountId(), run.tokens() - usedTokens);
            startNext(after);
            refuseUnreachable(after);
        }
        after.forEach(FairRunQueue::runGuarded);
    }

    /** Refuses the runs that cannot start before their deadline any more. */
    public void expire() {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            refuseUnreachable(after);
            startNext(after);
        }
        after.forEach(FairRunQueue::runGuarded);
    }

    /** Gives a run its turn; a run that cannot begin leaves its place to the next one. */
    private void begin(QueuedRun run) {
        try {
            run.start().run();
        } catch (RuntimeException | Error e) {
            finished(run.runId(), 0);
            throw e;
        }
    }

    /** Runs what a run waits for; a failure must not keep the other runs from their turns. */
    private static void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).log("unexpected failure of a run at its turn");
        }
    }

    // State

    @Override
    public long expectedWaitMillis(boolean freeTier) {
        synchronized (lock) {
            return TimeUnit.NANOSECONDS.toMillis((long) expectedWaitNanos(freeTier, "", 1));
        }
    }

    @Override
    public long expectedWaitMillis(boolean freeTier, String accountId) {
        synchronized (lock) {
            return TimeUnit.NANOSECONDS.toMillis((long) expectedWaitNanos(freeTier, accountId, 1));
        }
    }

    @Override
    public int freePlaces(boolean freeTier) {
        synchronized (lock) {
            return waiting.isEmpty() ? places(freeTier) : 0;
        }
    }

    @Override
    public long waitPerRunMillis() {
        synchronized (lock) {
            return TimeUnit.NANOSECONDS.toMillis((long) (runNanos / settings.maxRunning()));
        }
    }

    @Override
    public int waiting() {
        synchronized (lock) {
            return waiting.size();
        }
    }

    @Override
    public int running() {
        synchronized (lock) {
            return running.size();
        }
    }

    // Admission, under the lock

    private Optional<Refusal> refuse(QueuedRun run) {
        if (waiting.containsKey(run.runId()) || running.containsKey(run.runId())) {
            return Optional.of(Refusal.of(ResultCode.ATTEMPT_IN_PROGRESS, "the run is already queued or running"));
        }
        double waitNanos = expectedWaitNanos(run.freeTier(), run.accountId(), Math.max(1, run.weight()));
        Duration retryAfter = retryAfter(waitNanos);
        boolean freeFull = isYielding(run.freeTier()) && free.size() >= settings.freeWaitingLimit();
        if (waiting.size() >= settings.maxWaiting() || freeFull) {
            return Optional.of(Refusal.of(ResultCode.QUEUE_FULL).withRetryAfter(retryAfter));
        }
        if (time.monotonicNanos() + (long) waitNanos - run.deadlineNanos() > 0) {
            return Optional.of(Refusal.of(ResultCode.DEADLINE_UNREACHABLE).withRetryAfter(retryAfter));
        }
        return Optional.empty();
    }

    private void refuseUnreachable(List<Runnable> after) {
        long now = time.monotonicNanos();
        Map<String, Integer> positions = new HashMap<>();
        List<QueuedRun> late = waiting.values().stream()
                .filter(run -> {
                    int ahead = positions.merge(run.accountId(), 1, Integer::sum) - 1;
                    int batches = ahead / settings.maxRunning();
                    long soonest = (long) (batches * runNanos);
                    return now + soonest - run.deadlineNanos() > 0;
                })
                .toList();
        late.forEach(run -> {
            removeWaiting(run);
            refusals.mark();
            Refusal refusal = Refusal.of(ResultCode.DEADLINE_UNREACHABLE)
                    .withRetryAfter(retryAfter(expectedWaitNanos(run.freeTier(), run.accountId(), run.weight())));
            after.add(() -> run.refuse().accept(refusal));
        });
    }

    private void removeWaiting(QueuedRun run) {
        waiting.remove(run.runId());
        offeredNanos.remove(run.runId());
        orderOf(run).remove(run);
    }

    // Turns, under the lock

    private void startNext(List<Runnable> after) {
        Optional<QueuedRun> next = next();
        while (!closed && next.isPresent()) {
            QueuedRun run = next.get();
            long now = time.monotonicNanos();
            waiting.remove(run.runId());
            Long offered = offeredNanos.remove(run.runId());
            running.put(run.runId(), new Running(run, now));
            waits.update(offered == null ? 0 : now - offered, TimeUnit.NANOSECONDS);
            starts.mark();
            after.add(() -> begin(run));
            next = next();
        }
    }

    private Optional<QueuedRun> next() {
        if (running.size() >= settings.maxRunning()) {
            return Optional.empty();
        }
        boolean suspectAllowed =
                running.values().stream().noneMatch(r -> r.run().suspect());
        Optional<QueuedRun> run = paying.next(suspectAllowed);
        return run.isPresent() || places(true) <= 0 ? run : free.next(suspectAllowed);
    }

    private int places(boolean freeTier) {
        int left = settings.maxRunning() - running.size();
        if (!isYielding(freeTier)) {
            return left;
        }
        long freeRunning =
                running.values().stream().filter(r -> r.run().freeTier()).count();
        return Math.min(left, settings.freeRunningLimit(paying.size() > 0) - (int) freeRunning);
    }

    private RunOrder orderOf(QueuedRun run) {
        return isYielding(run.freeTier()) ? free : paying;
    }

    private boolean isYielding(boolean freeTier) {
        return freeTier && settings.policy() == QueuePolicy.FAIR;
    }

    // Estimates, under the lock

    private double expectedWaitNanos(boolean freeTier, String accountId, int weight) {
        if (waiting.isEmpty() && places(freeTier) > 0) {
            return 0;
        }
        double perRun = runNanos / settings.maxRunning();
        if (!isYielding(freeTier)) {
            return paying.startsUntil(accountId, weight) * perRun;
        }
        double freeStarts = free.startsUntil(accountId, weight);
        return paying.size() * perRun + freeStarts * runNanos / settings.freeRunningLimit(paying.size() > 0);
    }

    private static Duration retryAfter(double waitNanos) {
        return Duration.ofNanos(Math.max(MIN_RETRY.toNanos(), (long) waitNanos));
    }
}
