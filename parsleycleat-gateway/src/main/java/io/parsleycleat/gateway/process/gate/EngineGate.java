package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
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
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests may start on one model engine, and which adapters it is ordered to hold.
 *
 * <p>All requests for the engine ask here, so adapters in use are never replaced, the engine's memory is never promised
 * twice, and what waits is ordered by urgency. It needs no network: reports, orders and time are passed in.
 *
 * <p>One a side; guarded by its own lock.
 */
public final class EngineGate {
    /** Prompt tokens that may be before the engine unread; the rest waits here, where its order can still change. */
    private static final long MAX_BACKLOG_TOKENS = 10_000;
    /** Prompt tokens that an engine reads in one step at the most; a larger backlog makes its steps no longer. */
    private static final long STEP_TOKENS = 2_000;

    private static final long MIN_BACKLOG_TOKENS = 1_500;
    /** Time of a step beside the reading of prompts. */
    private static final Duration STEP_TIME = Duration.ofMillis(15);
    /** Part of the engine's memory that is promised; the rest is left to kept prompts. */
    private static final double MEMORY_SHARE = 0.95;

    /** How long after a new version was named its predecessor may still be started. */
    private static final Duration OLD_VERSION_LIMIT = Duration.ofSeconds(2);

    private static final Duration MODEL_LOAD_GAP = Duration.ofSeconds(3);
    private static final Duration RETRY_MIN = Duration.ofMillis(100);

    private final AdapterVersions versions;
    private final TimeSource time;
    private final AdapterTable adapters = new AdapterTable();
    private final ReadRate readRate = new ReadRate();
    private final PlaceRate placeRate = new PlaceRate();
    private final Map<TicketKey, Granted> granted = new HashMap<>();
    private final List<WaitingStart> waiting = new ArrayList<>();
    private @Nullable EngineSpec spec;
    private Duration pauseLimit = Duration.ZERO;
    private @Nullable EngineReport report;
    private @Nullable String engineId;
    private boolean out = true;
    private long lastModelLoadNanos;
    private boolean modelLoadTried;

    /** Names a start: who asked, and the number it gave. */
    public record TicketKey(Object caller, long ticket) {}

    /** A request that may run or runs. */
    private static final class Granted {
        private final AdapterId adapter;
        private final int promptTokens;
        private final long reservedTokens;
        private final long nanos;
        private boolean started;

        Granted(AdapterId adapter, int promptTokens, long reservedTokens, long nanos) {
            this.adapter = adapter;
            this.promptTokens = promptTokens;
            this.reservedTokens = reservedTokens;
            this.nanos = nanos;
        }
    }

    /** Creates a gate that grants nothing before the engine's first report. */
    public EngineGate(AdapterVersions versions, TimeSource time) {
        this.versions = versions;
        this.time = time;
    }

    // What is known

    /**
     * Takes what the configuration says of the engine.
     *
     * @param newPauseLimit the longest pause between events with which a stream is still of full use; zero for any
     */
    public synchronized void setSpec(EngineSpec newSpec, Duration newPauseLimit) {
        spec = newSpec;
        pauseLimit = newPauseLimit;
    }

    /** Takes what the engine says of itself. */
    public synchronized void onReport(EngineReport newReport, String newEngineId) {
        EngineReport before = report;
        if (before != null && before.born() != newReport.born()) {
            adapters.clear();
            modelLoadTried = false;
        }
        report = newReport;
        engineId = newEngineId;
        out = false;
        adapters.onReport(newReport, time.monotonicNanos());
        grantAll();
    }

    /** Notes that the engine does not answer; what waits is refused at once, since it can run elsewhere. */
    public synchronized void onEngineOut() {
        out = true;
        List.copyOf(waiting).forEach(w -> refuse(w, ResultCode.UPSTREAM_UNREACHABLE, RETRY_MIN));
    }

    // Requests

    /** Takes a request for a start; the reply is called once, now or later. */
    public synchronized void request(TicketKey key, StartRequest request, Consumer<StartGrant> reply) {
        long now = time.monotonicNanos();
        AdapterId adapter = new AdapterId(request.getModel(), request.getAdapter());
        if (!adapter.isBaseModel()) {
            versions.recordVersion(adapter, request.getMinVersion(), now);
        }
        WaitingStart asked = new WaitingStart(key, adapter, request, now, reply);
        Duration wait = expectedWait(asked);
        if (out || report == null) {
            refuse(asked, ResultCode.UPSTREAM_UNREACHABLE, RETRY_MIN);
        } else if (wait.toMillis() > request.getWaitMillis()) {
            refuse(asked, ResultCode.QUEUE_FULL, wait.minusMillis(request.getWaitMillis() / 2));
        } else {
            waiting.add(asked);
            grantAll();
        }
    }

    /** Takes how a granted or waiting request went on. */
    public synchronized void progress(TicketKey key, RunProgress.Stage stage) {
        if (stage == RunProgress.Stage.WITHDRAWN) {
            waiting.removeIf(w -> w.key().equals(key));
        }
        if (stage == RunProgress.Stage.FIRST_EVENT) {
            firstEvent(granted.get(key));
        } else {
            end(granted.remove(key));
        }
        grantAll();
    }

    /** Forgets all requests of a caller that is gone. */
    public synchronized void callerGone(Object caller) {
        waiting.removeIf(w -> w.key().caller().equals(caller));
        List.copyOf(granted.keySet()).stream()
                .filter(k -> k.caller().equals(caller))
                .forEach(k -> end(granted.remove(k)));
        grantAll();
    }

    /** Refuses what has waited for too long. */
    public synchronized void expire() {
        long now = time.monotonicNanos();
        List.copyOf(waiting).stream()
                .filter(w -> w.isOver(now))
                .forEach(w -> refuse(w, ResultCode.QUEUE_FULL, max(expectedWait(w), RETRY_MIN)));
    }

    private void firstEvent(@Nullable Granted run) {
        if (run != null && !run.started) {
            run.started = true;
            readRate.onFirstEvent(run.promptTokens, run.nanos, time.monotonicNanos());
        }
    }

    private void end(@Nullable Granted run) {
        if (run != null && adapters.release(run.adapter)) {
            placeRate.onFreed(time.monotonicNanos());
        }
    }

    private void refuse(WaitingStart asked, ResultCode code, Duration retryAfter) {
        waiting.remove(asked);
        asked.reply()
                .accept(StartGrant.newBuilder()
                        .setRefusalCode(code.number())
                        .setRetryAfterMillis((int) Math.max(0, retryAfter.toMillis()))
                        .build());
    }

    // Granting

    /** Grants what may start, the most urgent first; those that can still be in time go before those that cannot. */
    private void grantAll() {
        EngineReport known = report;
        if (out || known == null || waiting.isEmpty()) {
            return;
        }
        long now = time.monotonicNanos();
        List.copyOf(waiting).stream().sorted(WaitingStart.order(now)).forEach(w -> {
            if (isUsable(w.adapter(), now) && hasRoom(w, known)) {
                grant(w, now);
            }
        });
    }

    private void grant(WaitingStart w, long now) {
        waiting.remove(w);
        adapters.use(w.adapter(), now);
        granted.put(w.key(), new Granted(w.adapter(), w.request().getPromptTokens(), w.tokens(), now));
        w.reply()
                .accept(StartGrant.newBuilder()
                        .setVersion(
                                w.adapter().isBaseModel()
                                        ? 0
                                        : adapters.version(w.adapter()).orElse(0L))
                        .setEngineId(engineId == null ? "" : engineId)
                        .setEngineBorn(report == null ? 0 : report.born())
                        .build());
    }

    private boolean hasRoom(WaitingStart w, EngineReport known) {
        EngineSpec limits = spec;
        int slots = limits == null ? Integer.MAX_VALUE : limits.slots();
        boolean memory = reserved() + w.tokens() <= known.memoryTokens() * MEMORY_SHARE || granted.isEmpty();
        return granted.size() < slots && memory && isBacklogShort(w);
    }

    private boolean isBacklogShort(WaitingStart w) {
        long backlog = backlog();
        return backlog == 0 || backlog + w.request().getPromptTokens() <= maxBacklog();
    }

    /**
     * Returns how many prompt tokens may be before the engine unread. An event comes after several steps, and reading
     * prompts lengthens each of them; what is read at once must not lengthen the pauses between events beyond their
     * limit.
     */
    private long maxBacklog() {
        EngineSpec limits = spec;
        if (limits == null || pauseLimit.isZero()) {
            return MAX_BACKLOG_TOKENS;
        }
        double stepMillis =
                (double) pauseLimit.toMillis() / Math.max(1, limits.tokensPerEvent()) - STEP_TIME.toMillis();
        double tokens = stepMillis * readRate.tokensPerSecond() / 1_000;
        return tokens >= STEP_TOKENS ? MAX_BACKLOG_TOKENS : Math.max(MIN_BACKLOG_TOKENS, (long) tokens);
    }

    /** Returns whether an adapter is there, in a version that may still be started. */
    private boolean isUsable(AdapterId adapter, long now) {
        EngineReport known = report;
        if (known == null || !known.models().contains(adapter.model())) {
            return false;
        }
        if (adapter.isBaseModel()) {
            return true;
        }
        Optional<Long> version = adapters.version(adapter);
        if (version.isEmpty() || adapters.isComing(adapter)) {
            return false;
        }
        return version.get() >= versions.newestVersion(adapter) || mayUseOld(adapter, now);
    }

    private boolean mayUseOld(AdapterId adapter, long now) {
        return now - versions.receivedNanos(adapter) < OLD_VERSION_LIMIT.toNanos();
    }

    private long reserved() {
        return granted.values().stream().mapToLong(g -> g.reservedTokens).sum();
    }

    private long backlog() {
        return granted.values().stream()
                .filter(g -> !g.started)
                .mapToLong(g -> g.promptTokens)
                .sum();
    }

    private Duration expectedWait(WaitingStart asked) {
        int priority = asked.request().getPriority();
        long ahead = waiting.stream()
                .filter(w -> w.request().getPriority() <= priority)
                .mapToLong(w -> w.request().getPromptTokens())
                .sum();
        long tokens = Math.max(0, backlog() + ahead - maxBacklog());
        Duration reading = Duration.ofMillis((long) (1_000 * tokens / readRate.tokensPerSecond()));
        return isUsable(asked.adapter(), time.monotonicNanos()) ? reading : max(reading, loadWait(asked.adapter()));
    }

    /** An adapter that is absent needs a place, and its load waits for those that are wanted already. */
    private Duration loadWait(AdapterId adapter) {
        if (!isAbsent(adapter)) {
            return adapters.pace().timeBehind(0);
        }
        long wanted = wantedLoads();
        boolean isNew = !isWanted(adapter);
        Duration loading = adapters.pace().timeBehind(adapters.comingCount() + (isNew ? wanted : wanted / 2));
        return isNew ? placeWait().plus(loading) : loading;
    }

    /** Returns how many absent adapters requests wait for. */
    private long wantedLoads() {
        return waiting.stream()
                .map(WaitingStart::adapter)
                .filter(this::isAbsent)
                .distinct()
                .count();
    }

    /** Returns how long one more absent adapter waits for its place, behind those that wait already. */
    private Duration placeWait() {
        EngineSpec limits = spec;
        if (limits == null) {
            return Duration.ZERO;
        }
        long free = (long) limits.maxResidentAdapters() - adapters.taken() + adapters.replaceable(this::isWanted);
        return placeRate.timeToFree(wantedLoads() + 1 - free, time.monotonicNanos());
    }

    private boolean isAbsent(AdapterId adapter) {
        return !adapter.isBaseModel() && adapters.version(adapter).isEmpty() && !adapters.isComing(adapter);
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    // Orders

    /** Returns the next order that the engine needs, if any. The last order's outcome must be known to the table. */
    public synchronized Optional<ModelOrder> nextOrder(long fence) {
        EngineReport known = report;
        EngineSpec limits = spec;
        String id = engineId;
        if (out || known == null || limits == null || id == null) {
            return Optional.empty();
        }
        OrderMaker make =
                (operation, target, version) -> new ModelOrder(operation, target, version, known.orders(), fence, id);
        if (known.models().isEmpty()) {
            return known.busy() ? Optional.empty() : loadModel(limits, make);
        }
        return replaceOldVersion(make).or(() -> loadWanted(limits, make));
    }

    /** Makes an order for the engine as it was last reported. */
    @FunctionalInterface
    private interface OrderMaker {
        ModelOrder make(ModelOrder.Operation operation, AdapterId target, long version);
    }

    private Optional<ModelOrder> loadModel(EngineSpec limits, OrderMaker make) {
        long now = time.monotonicNanos();
        if (modelLoadTried && now - lastModelLoadNanos < MODEL_LOAD_GAP.toNanos()) {
            return Optional.empty();
        }
        Optional<String> wanted = waiting.stream()
                .map(w -> w.adapter().model())
                .findFirst()
                .or(() -> limits.models().stream().map(ModelSpec::name).findFirst());
        wanted.ifPresent(m -> {
            modelLoadTried = true;
            lastModelLoadNanos = now;
        });
        return wanted.map(m -> make.make(ModelOrder.Operation.LOAD, AdapterId.baseModel(m), 0));
    }

    private Optional<ModelOrder> replaceOldVersion(OrderMaker make) {
        if (adapters.comingCount() >= adapters.pace().atOnce()) {
            return Optional.empty();
        }
        return adapters.residents().stream()
                .filter(a -> adapters.version(a).orElse(0L) < versions.newestVersion(a))
                .filter(a -> !adapters.isUsed(a) && !adapters.isComing(a))
                .findFirst()
                .map(a -> make.make(ModelOrder.Operation.LOAD, a, versions.newestVersion(a)));
    }

    private Optional<ModelOrder> loadWanted(EngineSpec limits, OrderMaker make) {
        if (adapters.comingCount() >= adapters.pace().atOnce()) {
            return Optional.empty();
        }
        long now = time.monotonicNanos();
        List<WaitingStart> absent =
                waiting.stream().filter(w -> isAbsent(w.adapter())).toList();
        return WaitingStart.nextLoad(absent, now)
                .flatMap(a -> adapters.taken() < limits.maxResidentAdapters()
                        ? Optional.of(make.make(ModelOrder.Operation.LOAD, a, versions.newestVersion(a)))
                        : adapters.leastRecentlyUsed(this::isWanted, now)
                                .map(old -> make.make(ModelOrder.Operation.UNLOAD, old, 0)));
    }

    private boolean isWanted(AdapterId adapter) {
        return waiting.stream().anyMatch(w -> w.adapter().equals(adapter));
    }

    /** Takes an order's outcome. */
    public synchronized void onOrder(ModelOrder order, ModelOrder.Outcome outcome) {
        if (!order.target().isBaseModel()) {
            adapters.onOrder(order, outcome, time.monotonicNanos());
        }
        grantAll();
    }

    /** Returns whether something is on its way, so that reports matter. */
    public synchronized boolean isChanging() {
        EngineReport known = report;
        return adapters.comingCount() > 0
                || adapters.isUncertain()
                || known == null
                || known.models().isEmpty()
                || !waiting.isEmpty();
    }

    // Status

    /** Returns what entries are told. */
    public synchronized GateStatus status() {
        EngineReport known = report;
        GateStatus.Builder status = GateStatus.newBuilder()
                .setEngineId(engineId == null ? "" : engineId)
                .setOut(out)
                .setBacklogTokens(backlog()
                        + waiting.stream()
                                .mapToLong(w -> w.request().getPromptTokens())
                                .sum())
                .setRunning(granted.size())
                .setWaiting(waiting.size())
                .setReservedTokens(reserved()
                        + waiting.stream().mapToLong(WaitingStart::tokens).sum())
                .setTokensPerSecond((int) readRate.tokensPerSecond())
                .setPlaceWaitMillis((int) placeWait().plus(loadQueue()).toMillis())
                .addAllResident(names(adapters.residents().stream()
                        .filter(a -> isUsable(a, time.monotonicNanos()))
                        .collect(Collectors.toSet())))
                .addAllComing(names(adapters.comings()));
        if (known != null) {
            status.setBorn(known.born())
                    .setModelResident(!known.models().isEmpty())
                    .setTotalTokens(known.memoryTokens());
        }
        return status.build();
    }

    /** Returns how much longer than alone a further adapter's load takes. */
    private Duration loadQueue() {
        LoadPace pace = adapters.pace();
        return pace.timeBehind(adapters.comingCount() + wantedLoads()).minus(pace.timeBehind(0));
    }

    private static List<String> names(Set<AdapterId> ids) {
        return ids.stream().map(AdapterId::toString).sorted().toList();
    }
}
