package io.parsleycleat.core.process.slots;

import com.codahale.metrics.Timer;
import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.connection.upstream.EngineState;
import io.parsleycleat.core.connection.upstream.ModelEngine;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.ParsleycleatException;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.wire.routing.SlotState;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * The slot table of one model engine, kept by the engine's side.
 *
 * <p>Created once by the side; safe to share between threads. One lock guards the decisions what is pinned, loaded and
 * evicted; orders to the engine are sent outside it. The table is empty until the first report of the engine was
 * {@linkplain #observe observed}, and again whenever the engine restarts or the side loses its lease.
 */
public final class EngineSlotTable implements SlotTable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    /** What a run is expected to wait for a slot when every slot is pinned. */
    private static final long BUSY_SLOTS_MILLIS = 2000;

    private static final int MAX_FORMER_INCARNATIONS = 64;

    private final ModelEngine engine;
    private final TimeSource time;
    private final LoadGate gate;
    private final LongSupplier fencingNumber;
    private final BooleanSupplier leaseHeld;
    private final SlotTableSettings settings;
    private final SlotMetrics metrics;

    private final Object lock = new Object();
    private final SlotLedger ledger;
    private final LoadHistory history;
    private final Map<LoadPriority, Deque<Long>> permitsAsked = new EnumMap<>(LoadPriority.class);
    private final Set<String> formerIncarnations = new LinkedHashSet<>();
    private String incarnation = "";
    /** Set after an unload failed, so that the next one waits for a new report. */
    private boolean paused;

    EngineSlotTable(EngineSlotTableBuilder builder) {
        this.engine = builder.engine;
        this.time = builder.time;
        this.gate = builder.gate;
        this.fencingNumber = builder.fencingNumber;
        this.leaseHeld = builder.leaseHeld;
        this.settings = builder.settings;
        this.ledger = new SlotLedger(builder.settings, builder.retired);
        this.history = new LoadHistory(builder.settings);
        this.metrics = new SlotMetrics(builder.metrics, this::countPinned, this::waiting);
        Arrays.stream(LoadPriority.values()).forEach(p -> permitsAsked.put(p, new ArrayDeque<>()));
    }

    /** Returns a builder with default settings. */
    public static EngineSlotTableBuilder builder(ModelEngine engine, TimeSource time) {
        return new EngineSlotTableBuilder(engine, time);
    }

    // Pins

    @Override
    public CompletableFuture<Pin> pin(AdapterVersion adapter, LoadPriority priority) {
        return pin(PinRequest.of(adapter, priority));
    }

    @Override
    public CompletableFuture<Pin> pin(PinRequest request) {
        CompletableFuture<Pin> future = new CompletableFuture<>();
        List<Runnable> after = new ArrayList<>();
        boolean held = leaseHeld.getAsBoolean();
        synchronized (lock) {
            long now = time.monotonicNanos();
            if (!held) {
                loseLease(after);
            }
            Optional<Refusal> refusal = held ? refuse(request, now) : Optional.of(leaseLapsed());
            if (refusal.isPresent()) {
                after.add(() -> future.completeExceptionally(refusal.get().toException()));
            } else {
                Waiter waiter = new Waiter(request, future, now);
                Optional<Slot> slot = ledger.admit(waiter, now);
                metrics.count(slot.isPresent());
                slot.ifPresent(s -> grant(s, waiter, after));
                askForPermits(after);
            }
        }
        after.forEach(Runnable::run);
        return future;
    }

    /** Returns what a probe for an adapter version is told when the account is not known. */
    public SlotReport report(AdapterVersion adapter) {
        return report(adapter, LoadPriority.PAYING, "");
    }

    /** Returns what a probe of an account for an adapter version is told. */
    public SlotReport report(AdapterVersion adapter, LoadPriority priority, String accountId) {
        synchronized (lock) {
            Slot slot = ledger.slot(adapter);
            int free = ledger.free();
            int evictable = ledger.evictable();
            long now = time.monotonicNanos();
            if (slot != null && slot.state == Slot.State.LOADED) {
                return new SlotReport(SlotState.SLOT_STATE_LOADED, free, evictable, 0);
            }
            if (slot != null && slot.state == Slot.State.LOADING) {
                long left = millis(history.loadNanos() - (now - slot.createdNanos));
                return new SlotReport(SlotState.SLOT_STATE_LOADING, free, evictable, Math.max(1, left));
            }
            if (ledger.isWanted(adapter)) {
                return new SlotReport(
                        SlotState.SLOT_STATE_LOADING, free, evictable, expectedLoadMillis(now, priority, accountId));
            }
            long backoff = history.backoff(adapter, now).toMillis();
            long busy = free + evictable == 0 ? BUSY_SLOTS_MILLIS : 0;
            return new SlotReport(
                    SlotState.SLOT_STATE_ABSENT,
                    free,
                    evictable,
                    expectedLoadMillis(now, priority, accountId) + busy + backoff);
        }
    }

    /** Returns how many pins wait for a load. */
    public int waiting() {
        synchronized (lock) {
            return ledger.waiting();
        }
    }

    // Events

    /** Takes in a report of the engine. A report of an earlier incarnation is ignored. */
    public void observe(EngineState state) {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            if (formerIncarnations.contains(state.incarnation())) {
                return;
            }
            ledger.setCapacity(state.slots());
            paused = false;
            if (!incarnation.equals(state.incarnation())) {
                if (!incarnation.isEmpty()) {
                    rememberFormer(incarnation);
                    logger.atInfo().log("the engine restarted, all slots are empty");
                }
                incarnation = state.incarnation();
                history.clearFailures();
                ledger.empty(state.loaded());
            }
            expireWaiters(after);
            askForPermits(after);
        }
        after.forEach(Runnable::run);
    }

    /** Refuses the pins whose deadline has passed. */
    public void expire() {
        List<Runnable> after = new ArrayList<>();
        boolean held = leaseHeld.getAsBoolean();
        synchronized (lock) {
            if (!held) {
                loseLease(after);
            }
            expireWaiters(after);
            askForPermits(after);
        }
        after.forEach(Runnable::run);
    }

    // Admission, under the lock

    private Optional<Refusal> refuse(PinRequest request, long now) {
        AdapterVersion adapter = request.adapter();
        Slot slot = ledger.slot(adapter);
        if (slot != null && slot.state == Slot.State.LOADED) {
            return Optional.empty();
        }
        Duration backoff = history.backoff(adapter, now);
        if (!backoff.isZero()) {
            return Optional.of(Refusal.of(ResultCode.LOAD_FAILED, adapter + " failed to load a short time ago")
                    .withRetryAfter(backoff));
        }
        if (ledger.waiting() >= settings.maxWaiting()) {
            return Optional.of(Refusal.of(ResultCode.QUEUE_FULL, "too many requests wait for loads")
                    .withRetryAfter(RETRY_AFTER));
        }
        return Optional.empty();
    }

    private void grant(Slot slot, Waiter waiter, List<Runnable> after) {
        LoadPriority priority = waiter.request().priority();
        slot.addPin(priority);
        Pin pin = new TablePin(slot, priority);
        after.add(() -> {
            if (!waiter.future().complete(pin)) {
                pin.release();
            }
        });
    }

    private void rememberFormer(String former) {
        formerIncarnations.add(former);
        if (formerIncarnations.size() > MAX_FORMER_INCARNATIONS) {
            formerIncarnations.remove(formerIncarnations.iterator().next());
        }
    }

    private void expireWaiters(List<Runnable> after) {
        long now = time.monotonicNanos();
        ledger.removeWaiters(Waiter::isGone);
        long retryMillis = expectedLoadMillis(now, LoadPriority.PAYING, "");
        Refusal refusal = Refusal.of(ResultCode.DEADLINE_UNREACHABLE, "the adapter is not loaded before the deadline")
                .withRetryAfter(Duration.ofMillis(retryMillis));
        fail(ledger.removeWaiters(w -> w.request().isExpired(now)), refusal, after);
    }

    private void loseLease(List<Runnable> after) {
        List<Waiter> waiters = ledger.removeWaiters(w -> true);
        ledger.empty(List.of());
        incarnation = "";
        ledger.setCapacity(0);
        fail(waiters, leaseLapsed(), after);
    }

    private static void fail(List<Waiter> waiters, Refusal refusal, List<Runnable> after) {
        waiters.forEach(w -> after.add(() -> w.future().completeExceptionally(refusal.toException())));
    }

    // Permits, under the lock

    private void askForPermits(List<Runnable> after) {
        if (paused) {
            return;
        }
        int pending = permitsAsked.values().stream().mapToInt(Deque::size).sum();
        int room = Math.min(
                settings.maxLoads() - ledger.loading() - pending, ledger.free() + ledger.evictable() - pending);
        for (LoadPriority priority : LoadPriority.values()) {
            Deque<Long> asked = permitsAsked.get(priority);
            int wanted = ledger.loadable(priority);
            if (asked == null || (priority == LoadPriority.FREE && ledger.isFreeShareUsed())) {
                continue;
            }
            while (room > 0 && asked.size() < wanted) {
                asked.add(time.monotonicNanos());
                room--;
                after.add(() -> askForPermit(priority));
            }
        }
    }

    private void askForPermit(LoadPriority priority) {
        called(() -> gate.acquire(priority))
                .whenComplete((permit, failure) -> onPermit(
                        priority,
                        failure == null
                                ? permit
                                : Either.left(Failures.toRefusal(failure, ResultCode.LIMIT_UNAVAILABLE))));
    }

    private void onPermit(LoadPriority priority, Either<Refusal, Runnable> permit) {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            long now = time.monotonicNanos();
            Long asked = Objects.requireNonNull(permitsAsked.get(priority)).poll();
            if (permit.isLeft()) {
                fail(ledger.removeWaiters(w -> w.request().priority() == priority), permit.getLeft(), after);
                askForPermits(after);
            } else {
                history.permitted(asked == null ? 0 : now - asked);
                ledger.removeWaiters(Waiter::isGone);
                Optional<LoadOrder> order = ledger.beginLoad(priority, now);
                order.ifPresent(o -> after.add(() -> execute(o, permit.get())));
                if (order.isEmpty()) {
                    after.add(permit.get());
                }
            }
        }
        after.forEach(Runnable::run);
    }

    // Orders, outside the lock

    private void execute(LoadOrder order, Runnable releasePermit) {
        AdapterVersion evicted = order.evicted();
        if (evicted == null) {
            load(order, releasePermit);
            return;
        }
        metrics.countEviction();
        order(() -> engine.unload(evicted, fencingNumber.getAsLong())).whenComplete((ok, failure) -> {
            if (onUnloaded(order, failure)) {
                load(order, releasePermit);
            } else {
                releasePermit.run();
            }
        });
    }

    private void load(LoadOrder order, Runnable releasePermit) {
        Timer.Context timer = metrics.startLoad();
        order(() -> engine.load(order.slot().adapter, fencingNumber.getAsLong()))
                .whenComplete((ok, failure) -> {
                    timer.stop();
                    releasePermit.run();
                    onLoaded(order.slot(), failure);
                });
    }

    private CompletableFuture<Void> order(Supplier<CompletableFuture<Void>> order) {
        return leaseHeld.getAsBoolean()
                ? called(order)
                : CompletableFuture.failedFuture(leaseLapsed().toException());
    }

    /** Makes a call; what it throws is its failure. */
    private static <T> CompletableFuture<T> called(Supplier<CompletableFuture<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException | Error e) {
            logger.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
                    "unexpected failure of an order or a permit");
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Returns whether the load goes on. */
    private boolean onUnloaded(LoadOrder order, @Nullable Throwable failure) {
        List<Runnable> after = new ArrayList<>();
        boolean goOn = false;
        synchronized (lock) {
            if (ledger.isLoading(order.slot())) {
                if (failure == null && order.evicted() != null) {
                    ledger.evicted(order.evicted());
                    goOn = true;
                    askForPermits(after);
                } else if (isFenced(failure)) {
                    loseLease(after);
                } else {
                    logger.atWarning().log("an unload failed: %s", failure);
                    ledger.undoLoad(order);
                    paused = true;
                }
            }
        }
        after.forEach(Runnable::run);
        return goOn;
    }

    private void onLoaded(Slot slot, @Nullable Throwable failure) {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            if (!ledger.isLoading(slot)) {
                // The engine restarted meanwhile, and whoever waited wants the adapter again.
                return;
            }
            long now = time.monotonicNanos();
            if (failure == null) {
                slot.state = Slot.State.LOADED;
                slot.loadNanos = Math.max(1, now - slot.createdNanos);
                history.loaded(slot.adapter, slot.loadNanos);
                slot.waiters.forEach(w -> grant(slot, w, after));
                slot.waiters.clear();
            } else if (isFenced(failure)) {
                loseLease(after);
            } else {
                failLoad(slot, failure, now, after);
            }
            askForPermits(after);
        }
        after.forEach(Runnable::run);
    }

    private void failLoad(Slot slot, Throwable failure, long now, List<Runnable> after) {
        metrics.countFailure();
        logger.atWarning().with(LogKeys.ADAPTER, slot.adapter.label()).log("a load failed: %s", failure);
        Duration backoff = history.failed(slot.adapter, now);
        boolean mayBeHeld = codeOf(failure) != ResultCode.LOAD_FAILED;
        Refusal refusal = Refusal.of(ResultCode.LOAD_FAILED, slot.adapter + " could not be loaded")
                .withRetryAfter(backoff);
        fail(ledger.removeFailed(slot, mayBeHeld), refusal, after);
    }

    private static boolean isFenced(@Nullable Throwable failure) {
        ResultCode code = failure == null ? ResultCode.DONE : codeOf(failure);
        return code == ResultCode.ORDER_FENCED || code == ResultCode.LEASE_LAPSED;
    }

    private static ResultCode codeOf(Throwable failure) {
        return Failures.unwrap(failure) instanceof ParsleycleatException e ? e.code() : ResultCode.FAILURE_UNEXPECTED;
    }

    private static Refusal leaseLapsed() {
        return Refusal.of(ResultCode.LEASE_LAPSED).withRetryAfter(RETRY_AFTER);
    }

    // Estimates

    private long expectedLoadMillis(long now, LoadPriority priority, String accountId) {
        long oldest = permitsAsked.values().stream()
                .flatMap(d -> d.stream().limit(1))
                .mapToLong(asked -> now - asked)
                .max()
                .orElse(0);
        double permit = Math.max(history.permitNanos(), (double) oldest);
        int turns = (ledger.loadsUntil(priority, accountId) - 1) / settings.maxLoads() + 1;
        return Math.max(1, millis(turns * (permit + history.loadNanos())));
    }

    private int countPinned() {
        synchronized (lock) {
            return ledger.pinned();
        }
    }

    private static long millis(double nanos) {
        return (long) (nanos / TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** One hold on a slot. Created by the table; safe to share between threads. */
    private final class TablePin implements Pin {
        private final Slot slot;
        private final LoadPriority priority;
        private final AtomicBoolean released = new AtomicBoolean();

        TablePin(Slot slot, LoadPriority priority) {
            this.slot = slot;
            this.priority = priority;
        }

        @Override
        public long generation() {
            return slot.generation;
        }

        @Override
        public boolean isCurrent() {
            synchronized (lock) {
                return ledger.isHeld(slot);
            }
        }

        @Override
        public void release() {
            if (!released.compareAndSet(false, true)) {
                return;
            }
            List<Runnable> after = new ArrayList<>();
            synchronized (lock) {
                slot.removePin(priority, time.monotonicNanos());
                askForPermits(after);
            }
            after.forEach(Runnable::run);
        }
    }
}
