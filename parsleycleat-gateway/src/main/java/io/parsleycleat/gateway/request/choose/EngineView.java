package io.parsleycleat.gateway.request.choose;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.routes.AdapterId;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.GateStatus;
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
 * What the sides last told of their engines, and what this entry has asked for since.
 *
 * <p>One an entry; safe to share between threads.
 */
public final class EngineView {
    private static final long STALE_MILLIS = 3_000;
    /** Adapters that an engine is taken to load faster, since it had them before; engines keep about this many. */
    private static final int HELD_LIMIT = 100;
    /** Statuses that fail to come until a side is taken to be silent. */
    private static final int MISSED_STATUSES = 3;

    private final TimeSource time;
    private final Map<String, Told> told = new ConcurrentHashMap<>();
    private final Map<String, Long> silentUntilNanos = new ConcurrentHashMap<>();

    /** A status with the time of its arrival. */
    private static final class Told {
        private final GateStatus status;
        private final Set<String> resident;
        private final Set<String> coming;
        private final Set<String> held;
        private final long nanos;
        private final AtomicLong askedTokens = new AtomicLong();

        Told(GateStatus status, @Nullable Told before, long nanos) {
            this.status = status;
            this.resident = Set.copyOf(status.getResidentList());
            this.coming = Set.copyOf(status.getComingList());
            this.held = heldNow(before, status.getBorn(), resident);
            this.nanos = nanos;
        }

        /** Returns whether the side sends nothing although it said that it would. */
        boolean isMissed(long now) {
            long next = TimeUnit.MILLISECONDS.toNanos(status.getNextMillis());
            return next > 0 && now - nanos > MISSED_STATUSES * next;
        }

        /** Returns the adapters that an engine held last, those that it holds now at the end. */
        private static Set<String> heldNow(@Nullable Told before, long born, Set<String> resident) {
            if (before == null || before.status.getBorn() != born) {
                return resident;
            }
            if (before.resident.equals(resident)) {
                return before.held;
            }
            LinkedHashSet<String> held = new LinkedHashSet<>(before.held);
            held.removeAll(resident);
            held.addAll(resident);
            List<String> names = new ArrayList<>(held);
            return new LinkedHashSet<>(names.subList(Math.max(0, names.size() - HELD_LIMIT), names.size()));
        }
    }

    /** Where an adapter is. */
    public enum AdapterState {
        RESIDENT,
        LOADING,
        /** Not there now, but this start of the engine held it before and so loads it faster. */
        PREVIOUSLY_RESIDENT,
        ABSENT
    }

    /** Creates a view in which nothing was told yet. */
    public EngineView(TimeSource time) {
        this.time = time;
    }

    /** Takes a side's status of its engine. */
    public void onStatus(GateStatus status) {
        told.compute(status.getEngineId(), (id, before) -> new Told(status, before, time.monotonicNanos()));
    }

    /** Notes that a start was asked for, so that the next choice counts it before the side tells it. */
    public void onStartRequested(Upstream engine, int promptTokens) {
        Told known = told.get(engine.id());
        if (known != null) {
            known.askedTokens.addAndGet(promptTokens);
        }
    }

    /** Notes that an engine's side did not answer, so that it is not asked for a while. */
    public void markSideUnresponsive(Upstream engine, long millis) {
        silentUntilNanos.put(engine.id(), time.monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Returns whether the side answers, as far as is known. */
    public boolean isSideUnresponsive(Upstream engine) {
        Long until = silentUntilNanos.get(engine.id());
        if (until != null && time.monotonicNanos() - until < 0) {
            return true;
        }
        Told known = told.get(engine.id());
        return known != null && known.isMissed(time.monotonicNanos());
    }

    /** Returns the status of this start of an engine, unless it is too old. */
    public Optional<GateStatus> status(Upstream engine) {
        return fresh(engine).map(t -> t.status);
    }

    /** Returns the prompt tokens that are before a new request on an engine. */
    public long backlogTokens(Upstream engine) {
        return fresh(engine)
                .map(t -> t.status.getBacklogTokens() + t.askedTokens.get())
                .orElse(0L);
    }

    /** Returns where an adapter is with respect to an engine, by its side or else by the engine's own description. */
    public AdapterState adapterState(Upstream engine, AdapterId adapter) {
        String name = adapter.toString();
        Optional<Told> known = fresh(engine);
        if (known.isEmpty()) {
            return engine.residentAdapters().containsKey(name) ? AdapterState.RESIDENT : AdapterState.ABSENT;
        }
        if (known.get().resident.contains(name)
                || (adapter.isBaseModel() && known.get().status.getModelResident())) {
            return AdapterState.RESIDENT;
        }
        if (known.get().coming.contains(name)) {
            return AdapterState.LOADING;
        }
        return known.get().held.contains(name) ? AdapterState.PREVIOUSLY_RESIDENT : AdapterState.ABSENT;
    }

    private Optional<Told> fresh(Upstream engine) {
        Told known = told.get(engine.id());
        boolean usable = known != null
                && known.status.getBorn() == engine.startMillis()
                && time.monotonicNanos() - known.nanos < TimeUnit.MILLISECONDS.toNanos(STALE_MILLIS);
        return usable ? Optional.ofNullable(known) : Optional.empty();
    }
}
