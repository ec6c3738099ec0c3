package io.parsleycleat.core.version.configuration;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ConfigurationRecord;
import io.parsleycleat.wire.configuration.Delta;
import io.parsleycleat.wire.configuration.Snapshot;
import io.parsleycleat.wire.configuration.SnapshotMark;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * The newest state that a process knows, and the key withdrawals that are in force but not in the log yet. It only
 * moves forward.
 *
 * <p>Created by {@link ConfigurationStore}; safe to share between threads.
 */
final class StateHolder {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Object lock = new Object();
    private final Map<String, CompletableFuture<AuditEntry>> awaited = new HashMap<>();
    private final List<Consumer<ConfigurationView>> listeners = new CopyOnWriteArrayList<>();
    private final Object notification = new Object();
    private volatile KnownConfiguration known = KnownConfiguration.NOTHING;
    private volatile SnapshotMark newestSnapshot = SnapshotMark.getDefaultInstance();
    private volatile boolean ready;

    KnownConfiguration known() {
        return known;
    }

    ConfigurationState state() {
        return known.state();
    }

    boolean isReady() {
        return ready;
    }

    /** Notes that the state is one that was valid for the fleet, so that it can be served. */
    void markReady() {
        ready = true;
    }

    // Forward steps

    /** Folds records in the order of their offsets; those that were folded before change nothing. */
    void apply(SortedMap<Long, ConfigurationRecord> records) {
        advance(state -> {
            ConfigurationState next = state;
            for (Map.Entry<Long, ConfigurationRecord> record : records.entrySet()) {
                next = next.apply(record.getKey(), record.getValue());
            }
            return next;
        });
    }

    /** Folds the changes that a peer sent, unless records between are missing. */
    void apply(Delta delta) {
        advance(state -> {
            if (delta.getFromOffset() > state.version()) {
                return state;
            }
            ConfigurationState next = state;
            for (AuditEntry entry : delta.getEntriesList()) {
                ConfigurationRecord record = ConfigurationRecord.newBuilder()
                        .setChange(entry.getChange())
                        .build();
                next = next.apply(entry.getOffset(), record);
            }
            return next.withVersion(delta.getNextOffset());
        });
    }

    /** Takes over a snapshot when it is newer. */
    void install(Snapshot snapshot) {
        advance(state -> snapshot.getNextOffset() > state.version() ? ConfigurationState.of(snapshot) : state);
    }

    /** Puts key withdrawals in force and returns whether one of them is news. */
    boolean withdraw(Collection<Change> withdrawals) {
        boolean changed;
        synchronized (lock) {
            KnownConfiguration next = known.withWithdrawals(withdrawals);
            changed = next.withdrawals().size() != known.withdrawals().size();
            known = next;
        }
        if (changed) {
            tellListeners();
        }
        return changed;
    }

    // Snapshots in the log

    SnapshotMark newestSnapshot() {
        return newestSnapshot;
    }

    void noteSnapshot(SnapshotMark mark) {
        synchronized (lock) {
            if (mark.getNextOffset() > newestSnapshot.getNextOffset()
                    || mark.getOffset() > newestSnapshot.getOffset()) {
                newestSnapshot = mark;
            }
        }
    }

    // Waiting

    /** Returns a future that completes when a change was folded. */
    CompletableFuture<AuditEntry> await(String changeId) {
        synchronized (lock) {
            return state().result(changeId)
                    .map(CompletableFuture::completedFuture)
                    .orElseGet(() -> awaited.computeIfAbsent(changeId, id -> new CompletableFuture<>()));
        }
    }

    /** Returns whether someone waits for a change to be folded. */
    boolean isAwaited() {
        synchronized (lock) {
            return !awaited.isEmpty();
        }
    }

    /** Ends the wait for a change without a result. */
    void abandon(String changeId) {
        synchronized (lock) {
            awaited.remove(changeId);
        }
    }

    void onChange(Consumer<ConfigurationView> listener) {
        synchronized (notification) {
            listeners.add(listener);
            listener.accept(known);
        }
    }

    private void advance(UnaryOperator<ConfigurationState> step) {
        Map<CompletableFuture<AuditEntry>, AuditEntry> done = new HashMap<>();
        synchronized (lock) {
            KnownConfiguration before = known;
            ConfigurationState next = step.apply(before.state());
            if (next == before.state()) {
                return;
            }
            known = before.withState(next);
            List.copyOf(awaited.keySet()).forEach(id -> next.result(id).ifPresent(entry -> {
                CompletableFuture<AuditEntry> future = awaited.remove(id);
                if (future != null) {
                    done.put(future, entry);
                }
            }));
        }
        tellListeners();
        done.forEach(CompletableFuture::complete);
    }

    /** Each listener sees the newest view, never an earlier one after a later one. */
    private void tellListeners() {
        synchronized (notification) {
            listeners.forEach(this::tellListener);
        }
    }

    /** Tells one listener. What it throws is logged, so that the others and those who wait learn of the view. */
    private void tellListener(Consumer<ConfigurationView> listener) {
        try {
            listener.accept(known);
        } catch (RuntimeException | Error e) {
            logger.atSevere().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
                    "a listener failed at configuration version %d",
                    known.state().version());
        }
    }
}
