package io.parsleycleat.gateway.request.choose;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.version.routes.AdapterId;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import io.parsleycleat.wire.gate.GateStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Holds the last status of each engine as its side sent it, and the prompt tokens that this entry requested since then.
 *
 * <p>One instance per entry; safe for use by several threads.
 */
public final class EngineView {
    /** Age from which a status is ignored. */
    private static final long STATUS_MAX_AGE_MILLIS = 3_000;
    /** Adapters per engine that count as held before and faster to load; engines keep about this many. */
    private static final int MAX_HELD_ADAPTERS = 100;
    /** Announced status intervals without a status after which a side counts as unresponsive. */
    private static final int MAX_MISSED_STATUS_INTERVALS = 3;
    /** Time for which a side is not asked after its status became overdue. */
    private static final Duration OVERDUE_STATUS_PAUSE = Duration.ofSeconds(5);

    /** The priority of the most urgent requests; a status tells how long even these wait. */
    private static final int MOST_URGENT = 0;

    private final TimeSource time;
    private final UpstreamLimits limits;
    private final Map<String, ReceivedStatus> statusByEngineId = new ConcurrentHashMap<>();
    private final Map<String, Long> unresponsiveUntilNanos = new ConcurrentHashMap<>();

    /** A status with its time of receipt and the prompt tokens of the starts that were requested since. */
    private static final class ReceivedStatus {
        private final GateStatus status;
        private final Set<String> resident;
        private final Set<String> loading;
        private final Set<String> heldAdapters;
        private final long receivedNanos;
        private final AtomicLong requestedTokens = new AtomicLong();

        ReceivedStatus(GateStatus status, @Nullable ReceivedStatus previous, long nanos) {
            this.status = status;
            this.resident = Set.copyOf(status.getResidentList());
            this.loading = Set.copyOf(status.getComingList());
            this.heldAdapters = mergeHeldAdapters(previous, status.getBorn(), resident);
            this.receivedNanos = nanos;
        }

        /**
         * Returns whether the status that the side announced as the next one is overdue, for a while: a side that
         * started anew sends statuses only to entries that ask it.
         */
        boolean isNextOverdue(long now) {
            long nextNanos = TimeUnit.MILLISECONDS.toNanos(status.getNextMillis());
            long overdueNanos = now - receivedNanos - MAX_MISSED_STATUS_INTERVALS * nextNanos;
            return nextNanos > 0 && overdueNanos > 0 && overdueNanos < OVERDUE_STATUS_PAUSE.toNanos();
        }

        /** Returns the adapters that an engine held most recently, those that it holds now last. */
        private static Set<String> mergeHeldAdapters(
                @Nullable ReceivedStatus previous, long born, Set<String> resident) {
            if (previous == null || previous.status.getBorn() != born) {
                return resident;
            }
            if (previous.resident.equals(resident)) {
                return previous.heldAdapters;
            }
            LinkedHashSet<String> held = new LinkedHashSet<>(previous.heldAdapters);
            held.removeAll(resident);
            held.addAll(resident);
            List<String> names = new ArrayList<>(held);
            return new LinkedHashSet<>(names.subList(Math.max(0, names.size() - MAX_HELD_ADAPTERS), names.size()));
        }
    }

    /** The state of an adapter on an engine. */
    public enum AdapterState {
        RESIDENT,
        LOADING,
        /** Not resident, but the running engine process held it before and therefore loads it faster. */
        PREVIOUSLY_RESIDENT,
        ABSENT
    }

    /**
     * Creates a view without statuses.
     *
     * @param limits takes the request limits that statuses contain
     */
    public EngineView(TimeSource time, UpstreamLimits limits) {
        this.time = time;
        this.limits = limits;
    }

    /** Records the status that a side sent about its engine. */
    public void onStatus(GateStatus status) {
        statusByEngineId.compute(
                status.getEngineId(), (id, previous) -> new ReceivedStatus(status, previous, time.monotonicNanos()));
        if (status.hasRequestLimit()) {
            UpstreamStart start = new UpstreamStart(status.getEngineId(), status.getBorn());
            limits.onNamed(start, RequestLimit.of(status.getRequestLimit()));
            limits.close(start, Duration.ofMillis(status.getLimitWaitMillis()), MOST_URGENT);
        }
    }

    /** Records a requested start, so that the next choice counts its prompt before the side reports it. */
    public void onStartRequested(Upstream engine, int promptTokens) {
        ReceivedStatus known = statusByEngineId.get(engine.id());
        if (known != null) {
            known.requestedTokens.addAndGet(promptTokens);
        }
    }

    /** Marks an engine's side as unresponsive for some time, in which no starts are requested from it. */
    public void markSideUnresponsive(Upstream engine, long pauseMillis) {
        unresponsiveUntilNanos.put(engine.id(), time.monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(pauseMillis));
    }

    /** Returns whether the engine's side did not respond recently or its announced status is overdue. */
    public boolean isSideUnresponsive(Upstream engine) {
        Long until = unresponsiveUntilNanos.get(engine.id());
        if (until != null && time.monotonicNanos() - until < 0) {
            return true;
        }
        ReceivedStatus known = statusByEngineId.get(engine.id());
        return known != null && known.isNextOverdue(time.monotonicNanos());
    }

    /** Returns the last status of an engine, unless it is stale or belongs to another start of the engine. */
    public Optional<GateStatus> status(Upstream engine) {
        return freshStatus(engine).map(t -> t.status);
    }

    /** Returns the prompt tokens that an engine processes before those of a new request. */
    public long backlogTokens(Upstream engine) {
        return freshStatus(engine)
                .map(t -> t.status.getBacklogTokens() + t.requestedTokens.get())
                .orElse(0L);
    }

    /** Returns the state of an adapter on an engine, from the last status or else from the engine's description. */
    public AdapterState adapterState(Upstream engine, AdapterId adapter) {
        String name = adapter.toString();
        Optional<ReceivedStatus> known = freshStatus(engine);
        if (known.isEmpty()) {
            return engine.residentAdapters().containsKey(name) ? AdapterState.RESIDENT : AdapterState.ABSENT;
        }
        if (known.get().resident.contains(name)
                || (adapter.isBaseModel() && known.get().status.getModelResident())) {
            return AdapterState.RESIDENT;
        }
        if (known.get().loading.contains(name)) {
            return AdapterState.LOADING;
        }
        return known.get().heldAdapters.contains(name) ? AdapterState.PREVIOUSLY_RESIDENT : AdapterState.ABSENT;
    }

    private Optional<ReceivedStatus> freshStatus(Upstream engine) {
        ReceivedStatus known = statusByEngineId.get(engine.id());
        boolean usable = known != null
                && known.status.getBorn() == engine.startMillis()
                && time.monotonicNanos() - known.receivedNanos < TimeUnit.MILLISECONDS.toNanos(STATUS_MAX_AGE_MILLIS);
        return usable ? Optional.ofNullable(known) : Optional.empty();
    }
}
