package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.version.routes.AdapterId;
import io.parsleycleat.gateway.version.routes.AdapterVersions;
import io.parsleycleat.gateway.version.routes.EngineSpec;
import io.parsleycleat.gateway.version.routes.ModelSpec;
import io.parsleycleat.wire.gate.GateStatus;
import io.parsleycleat.wire.gate.RunProgress;
import io.parsleycleat.wire.gate.StartGrant;
import io.parsleycleat.wire.gate.StartRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Admission control for one model engine: decides which requests may start, and which adapters the engine loads and
 * unloads.
 *
 * <p>Every request to the engine needs a grant from this class. Adapters in use are therefore never replaced, the
 * engine's memory is never reserved twice, and waiting requests are ordered by urgency. The class does no I/O: reports,
 * order outcomes and time are passed in.
 *
 * <p>One instance per side; thread-safe, guarded by its own lock.
 */
public final class EngineGate {
    /** Share of the engine's memory that requests may reserve; the rest is left to the prompt cache. */
    private static final double RESERVABLE_MEMORY_SHARE = 0.95;

    /** Time for which the previous version of an adapter is still granted after a newer one became known. */
    private static final Duration OLD_VERSION_GRACE_PERIOD = Duration.ofSeconds(2);

    private static final Duration MODEL_LOAD_RETRY_INTERVAL = Duration.ofSeconds(3);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

    private final AdapterVersions versions;
    private final TimeSource time;
    private final AdapterTable adapters = new AdapterTable();
    private final PrefillBudget prefillBudget;
    private final PrefillSchedule schedule;
    private final AdapterReleaseInterval adapterReleaseInterval = new AdapterReleaseInterval();
    private final StartLimit startLimit = new StartLimit();
    private final Map<TicketKey, GrantedRequest> granted = new HashMap<>();
    private final List<WaitingStart> waiting = new ArrayList<>();
    private @Nullable EngineSpec spec;
    private @Nullable EngineReport lastReport;
    private @Nullable String engineId;
    private EngineContact contact = EngineContact.LOST;
    private boolean stopping;
    private long lastModelLoadAttemptNanos;
    private boolean modelLoadAttempted;

    /** Identifies a start request by its caller and the caller's ticket number. */
    public record TicketKey(Object caller, long ticket) {}

    /** Creates a gate that refuses all requests until the first report of the engine. */
    public EngineGate(AdapterVersions versions, TimeSource time, PromptOrder promptOrder) {
        this.versions = versions;
        this.time = time;
        this.prefillBudget = new PrefillBudget(promptOrder);
        this.schedule = new PrefillSchedule(promptOrder);
    }

    // Engine state

    /**
     * Sets the engine's limits from the configuration.
     *
     * @param newMaxEventGap the longest acceptable time between two events of a stream; zero for no limit
     */
    public synchronized void setSpec(EngineSpec newSpec, Duration newMaxEventGap) {
        spec = newSpec;
        prefillBudget.setLimits(newSpec, newMaxEventGap);
    }

    /** Applies a report of the engine and marks the engine as reachable. */
    public synchronized void onReport(EngineReport newReport, String newEngineId) {
        EngineReport before = lastReport;
        if (before != null && before.startedAtMillis() != newReport.startedAtMillis()) {
            adapters.clear();
            startLimit.reset();
            modelLoadAttempted = false;
        }
        lastReport = newReport;
        engineId = newEngineId;
        contact = EngineContact.ANSWERS;
        adapters.onReport(newReport, time.monotonicNanos());
        grantAll();
    }

    /** Marks the engine as unreachable and refuses all waiting requests, which can run on another engine. */
    public synchronized void onEngineUnreachable() {
        contact = EngineContact.LOST;
        refuseUnreachable();
    }

    /**
     * Marks an engine that answered before as silent: it may go on soon. Nothing is granted meanwhile, and the waiting
     * requests keep their places, except those that another engine takes sooner.
     */
    public synchronized void onEngineSilent() {
        if (contact == EngineContact.ANSWERS) {
            contact = EngineContact.SILENT;
        }
        refuseUnreachable();
    }

    /** Refuses all waiting requests and all that come later, which can run on another engine; granted ones go on. */
    public synchronized void stop() {
        stopping = true;
        List.copyOf(waiting).forEach(w -> refuse(w, ResultCode.PROCESS_STOPPING, MIN_RETRY_AFTER));
    }

    // Requests

    /** Requests a start. The reply is called at most once, possibly before this method returns. */
    public synchronized void requestStart(TicketKey key, StartRequest request, Consumer<StartGrant> reply) {
        long now = time.monotonicNanos();
        AdapterId adapter = new AdapterId(request.getModel(), request.getAdapter());
        if (!adapter.isBaseModel()) {
            versions.recordVersion(adapter, request.getMinVersion(), now);
        }
        WaitingStart waitingStart = new WaitingStart(key, adapter, request, now, reply);
        startLimit.adoptKnown(request, engineId, lastReport, now);
        Duration wait = expectedWait(waitingStart);
        if (stopping) {
            refuse(waitingStart, ResultCode.PROCESS_STOPPING, MIN_RETRY_AFTER);
        } else if (!contact.mayAwait(waitingStart)) {
            refuse(waitingStart, ResultCode.UPSTREAM_UNREACHABLE, MIN_RETRY_AFTER);
        } else if (wait.toMillis() > request.getWaitMillis()) {
            refuse(waitingStart, ResultCode.QUEUE_FULL, wait.minusMillis(request.getWaitMillis() / 2));
        } else {
            waiting.add(waitingStart);
            grantAll();
        }
    }

    /**
     * Records the request limit that the head of an answer names.
     *
     * @param named null if it names none
     */
    public synchronized void onAnswered(TicketKey key, @Nullable RequestLimit named) {
        GrantedRequest run = granted.get(key);
        startLimit.onAnswer(named, run == null ? 0 : run.startNumber, time.monotonicNanos());
        grantAll();
    }

    /** Applies the progress of a granted or waiting request. */
    public synchronized void onProgress(TicketKey key, RunProgress.Stage stage) {
        if (stage == RunProgress.Stage.WITHDRAWN) {
            waiting.removeIf(w -> w.key().equals(key));
        }
        if (stage == RunProgress.Stage.FIRST_EVENT) {
            recordFirstEvent(granted.get(key));
        } else {
            release(granted.remove(key));
        }
        grantAll();
    }

    /** Drops all requests of a disconnected caller and releases what they use. */
    public synchronized void onCallerDisconnected(Object caller) {
        waiting.removeIf(w -> w.key().caller().equals(caller));
        List.copyOf(granted.keySet()).stream()
                .filter(k -> k.caller().equals(caller))
                .forEach(k -> release(granted.remove(k)));
        grantAll();
    }

    /** Refuses the requests that have waited longer than their limit, and grants those whose turn has come. */
    public synchronized void refuseExpired() {
        refuseUnreachable();
        long now = time.monotonicNanos();
        List.copyOf(waiting).stream()
                .filter(w -> w.isExpired(now))
                .forEach(w ->
                        refuse(w, ResultCode.QUEUE_FULL, max(expectedWait(w.arrivedAgainAt(now)), MIN_RETRY_AFTER)));
        grantAll();
    }

    private void refuseUnreachable() {
        List.copyOf(waiting).stream()
                .filter(w -> !contact.mayAwait(w))
                .forEach(w -> refuse(w, ResultCode.UPSTREAM_UNREACHABLE, MIN_RETRY_AFTER));
    }

    private void recordFirstEvent(@Nullable GrantedRequest run) {
        if (run != null && !run.hasFirstEvent) {
            run.hasFirstEvent = true;
            prefillBudget.onFirstEvent(run, time.monotonicNanos());
        }
    }

    private void release(@Nullable GrantedRequest run) {
        if (run != null && adapters.release(run.adapter)) {
            adapterReleaseInterval.onReleased(time.monotonicNanos());
        }
    }

    private void refuse(WaitingStart waitingStart, ResultCode code, Duration retryAfter) {
        waiting.remove(waitingStart);
        waitingStart
                .reply()
                .accept(StartGrant.newBuilder()
                        .setRefusalCode(code.number())
                        .setRetryAfterMillis((int) Math.max(0, retryAfter.toMillis()))
                        .build());
    }

    // Granting

    /**
     * Grants the requests that fit, in the order of the schedule. Refuses those whose turn under the engine's request
     * limit comes later than they can wait for it.
     */
    private void grantAll() {
        EngineReport known = lastReport;
        if (contact != EngineContact.ANSWERS || known == null || waiting.isEmpty()) {
            return;
        }
        long now = time.monotonicNanos();
        PrefillSchedule.Plan plan = schedule.plan(waiting, backlogTokens(), prefillBudget.tokensPerSecond(), now);
        long maxBacklog = prefillBudget.limit(waiting, granted.values(), now);
        boolean isBlocked = false;
        int blockedPriority = Integer.MAX_VALUE;
        for (WaitingStart w : plan.order()) {
            if (!isGrantable(w.adapter(), now) || !hasCapacity(w, known)) {
                continue;
            }
            boolean fits = prefillBudget.fits(backlogTokens(), w.promptTokens(), maxBacklog);
            int priority = w.request().getPriority();
            boolean mayGo = w.promptTokens() == 0 || (!isBlocked && priority <= blockedPriority);
            if (fits && mayGo) {
                startLimit.tryStart(now).ifPresent(number -> {
                    schedule.onGranted(w, plan);
                    grant(w, now, number);
                });
            }
            // What goes past a prompt that does not fit lengthens its wait. Without long prompts only less urgent ones
            // are held back.
            isBlocked |= !fits && plan.isMixed();
            if (!fits && schedule.isByLength() && w.isWithinObjective(now)) {
                blockedPriority = Math.min(blockedPriority, priority);
            }
        }
        startLimit
                .beyondWait(
                        plan.order().stream()
                                .filter(w -> !granted.containsKey(w.key()))
                                .toList(),
                        now)
                .forEach(
                        w -> refuse(w, ResultCode.UPSTREAM_LIMITED, startLimit.retryAfter(w, waiting.size() - 1, now)));
    }

    private void grant(WaitingStart w, long now, long startNumber) {
        waiting.remove(w);
        adapters.acquire(w.adapter(), now);
        granted.put(w.key(), new GrantedRequest(w, now, startNumber));
        w.reply()
                .accept(StartGrant.newBuilder()
                        .setVersion(
                                w.adapter().isBaseModel()
                                        ? 0
                                        : adapters.residentVersion(w.adapter()).orElse(0L))
                        .setEngineId(engineId == null ? "" : engineId)
                        .setEngineBorn(lastReport == null ? 0 : lastReport.startedAtMillis())
                        .build());
    }

    private boolean hasCapacity(WaitingStart w, EngineReport known) {
        EngineSpec limits = spec;
        int slots = limits == null ? Integer.MAX_VALUE : limits.slots();
        boolean fitsMemory = reservedTokens() + w.requiredTokens() <= known.memoryTokens() * RESERVABLE_MEMORY_SHARE
                || granted.isEmpty();
        return granted.size() < slots && fitsMemory;
    }

    /** Returns whether the adapter is resident in a version that may be granted. */
    private boolean isGrantable(AdapterId adapter, long now) {
        EngineReport known = lastReport;
        if (known == null || !known.residentModels().contains(adapter.model())) {
            return false;
        }
        if (adapter.isBaseModel()) {
            return true;
        }
        Optional<Long> version = adapters.residentVersion(adapter);
        if (version.isEmpty() || adapters.isLoading(adapter)) {
            return false;
        }
        return version.get() >= versions.newestVersion(adapter) || isOldVersionAllowed(adapter, now);
    }

    private boolean isOldVersionAllowed(AdapterId adapter, long now) {
        return now - versions.receivedNanos(adapter) < OLD_VERSION_GRACE_PERIOD.toNanos();
    }

    private long reservedTokens() {
        return granted.values().stream().mapToLong(g -> g.reservedTokens).sum();
    }

    private long backlogTokens() {
        return granted.values().stream()
                .filter(g -> !g.hasFirstEvent)
                .mapToLong(g -> g.promptTokens)
                .sum();
    }

    private Duration expectedWait(WaitingStart waitingStart) {
        long now = time.monotonicNanos();
        long ahead = schedule.tokensAhead(waitingStart, waiting, backlogTokens(), prefillBudget.tokensPerSecond(), now);
        List<WaitingStart> all =
                Stream.concat(waiting.stream(), Stream.of(waitingStart)).toList();
        Duration prefillWait =
                prefillBudget.prefillTime(backlogTokens() + ahead - prefillBudget.limit(all, granted.values(), now));
        return isGrantable(waitingStart.adapter(), now)
                ? prefillWait
                : max(prefillWait, expectedLoadWait(waitingStart.adapter()));
    }

    /** Returns the expected wait for the adapter's load: for a slot, and behind the loads that are already queued. */
    private Duration expectedLoadWait(AdapterId adapter) {
        if (!isAbsent(adapter)) {
            return adapters.loadLimit().expectedLoadTime(0);
        }
        long queuedLoads = queuedLoadCount();
        boolean isNew = !isWaitedFor(adapter);
        Duration loading = adapters.loadLimit()
                .expectedLoadTime(adapters.loadingCount() + (isNew ? queuedLoads : queuedLoads / 2));
        return isNew ? expectedSlotWait().plus(loading) : loading;
    }

    /** Returns the number of absent adapters that requests wait for. */
    private long queuedLoadCount() {
        return waiting.stream()
                .map(WaitingStart::adapter)
                .filter(this::isAbsent)
                .distinct()
                .count();
    }

    /** Returns the expected wait of one more absent adapter for a slot, behind those already waiting. */
    private Duration expectedSlotWait() {
        EngineSpec limits = spec;
        if (limits == null) {
            return Duration.ZERO;
        }
        long free = (long) limits.maxResidentAdapters()
                - adapters.occupiedSlots()
                + adapters.replaceableCount(this::isWaitedFor);
        return adapterReleaseInterval.expectedWait(queuedLoadCount() + 1 - free, time.monotonicNanos());
    }

    private boolean isAbsent(AdapterId adapter) {
        return !adapter.isBaseModel() && adapters.residentVersion(adapter).isEmpty() && !adapters.isLoading(adapter);
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    // Orders

    /** Returns the next order for the engine, if any. The outcome of the previous order must have been passed in. */
    public synchronized Optional<ModelOrder> nextOrder(long fencingToken) {
        EngineReport known = lastReport;
        EngineSpec limits = spec;
        String id = engineId;
        if (contact != EngineContact.ANSWERS || known == null || limits == null || id == null) {
            return Optional.empty();
        }
        OrderFactory orders = (operation, target, version) ->
                new ModelOrder(operation, target, version, known.acceptedOrders(), fencingToken, id);
        if (known.residentModels().isEmpty()) {
            return known.modelChanging() ? Optional.empty() : nextModelLoad(limits, orders);
        }
        return nextVersionUpdate(orders).or(() -> nextAdapterLoad(limits, orders));
    }

    /** Creates orders that match the engine's last report. */
    @FunctionalInterface
    private interface OrderFactory {
        ModelOrder create(ModelOrder.Operation operation, AdapterId target, long version);
    }

    private Optional<ModelOrder> nextModelLoad(EngineSpec limits, OrderFactory orders) {
        long now = time.monotonicNanos();
        if (modelLoadAttempted && now - lastModelLoadAttemptNanos < MODEL_LOAD_RETRY_INTERVAL.toNanos()) {
            return Optional.empty();
        }
        Optional<String> wanted = waiting.stream()
                .map(w -> w.adapter().model())
                .findFirst()
                .or(() -> limits.models().stream().map(ModelSpec::name).findFirst());
        wanted.ifPresent(m -> {
            modelLoadAttempted = true;
            lastModelLoadAttemptNanos = now;
        });
        return wanted.map(m -> orders.create(ModelOrder.Operation.LOAD, AdapterId.baseModel(m), 0));
    }

    private Optional<ModelOrder> nextVersionUpdate(OrderFactory orders) {
        if (adapters.loadingCount() >= adapters.loadLimit().maxConcurrentLoads()) {
            return Optional.empty();
        }
        return adapters.residentAdapters().stream()
                .filter(a -> adapters.residentVersion(a).orElse(0L) < versions.newestVersion(a))
                .filter(a -> !adapters.isInUse(a) && !adapters.isLoading(a))
                .findFirst()
                .map(a -> orders.create(ModelOrder.Operation.LOAD, a, versions.newestVersion(a)));
    }

    private Optional<ModelOrder> nextAdapterLoad(EngineSpec limits, OrderFactory orders) {
        if (adapters.loadingCount() >= adapters.loadLimit().maxConcurrentLoads()) {
            return Optional.empty();
        }
        long now = time.monotonicNanos();
        List<WaitingStart> absent =
                waiting.stream().filter(w -> isAbsent(w.adapter())).toList();
        return WaitingStart.nextAdapterToLoad(absent, now)
                .flatMap(a -> adapters.occupiedSlots() < limits.maxResidentAdapters()
                        ? Optional.of(orders.create(ModelOrder.Operation.LOAD, a, versions.newestVersion(a)))
                        : adapters.leastRecentlyUsed(this::isWaitedFor, now)
                                .map(old -> orders.create(ModelOrder.Operation.UNLOAD, old, 0)));
    }

    private boolean isWaitedFor(AdapterId adapter) {
        return waiting.stream().anyMatch(w -> w.adapter().equals(adapter));
    }

    /** Applies the outcome of an order and grants the requests that can now start. */
    public synchronized void onOrderOutcome(ModelOrder order, ModelOrder.Outcome outcome) {
        if (!order.target().isBaseModel()) {
            adapters.onOrderOutcome(order, outcome, time.monotonicNanos());
        }
        grantAll();
    }

    /** Returns whether loads, an unanswered order or waiting requests call for frequent reports. */
    public synchronized boolean needsFrequentReports() {
        EngineReport known = lastReport;
        return adapters.loadingCount() > 0
                || adapters.hasUnansweredOrder()
                || known == null
                || known.residentModels().isEmpty()
                || !waiting.isEmpty();
    }

    // Status

    /** Returns the status that is sent to entries. */
    public synchronized GateStatus status() {
        EngineReport known = lastReport;
        GateStatus.Builder status = GateStatus.newBuilder()
                .setEngineId(engineId == null ? "" : engineId)
                .setOut(contact != EngineContact.ANSWERS)
                .setBacklogTokens(backlogTokens() + WaitingStart.totalPromptTokens(waiting))
                .setRunning(granted.size())
                .setWaiting(waiting.size())
                .setReservedTokens(reservedTokens() + WaitingStart.requiredTokens(waiting))
                .setTokensPerSecond((int) prefillBudget.tokensPerSecond())
                .setPlaceWaitMillis(
                        (int) expectedSlotWait().plus(queuedLoadDelay()).toMillis())
                .addAllResident(AdapterId.names(adapters.residentAdapters().stream()
                        .filter(a -> isGrantable(a, time.monotonicNanos()))
                        .collect(Collectors.toSet())))
                .addAllComing(AdapterId.names(adapters.loadingAdapters()));
        if (known != null) {
            status.setBorn(known.startedAtMillis())
                    .setModelResident(!known.residentModels().isEmpty())
                    .setTotalTokens(known.memoryTokens());
        }
        startLimit.describe(status, waiting, time.monotonicNanos());
        return status.build();
    }

    /** Returns how much queued and running loads delay the load of one more adapter. */
    private Duration queuedLoadDelay() {
        LoadConcurrencyLimit loadLimit = adapters.loadLimit();
        return loadLimit
                .expectedLoadTime(adapters.loadingCount() + queuedLoadCount())
                .minus(loadLimit.expectedLoadTime(0));
    }
}
