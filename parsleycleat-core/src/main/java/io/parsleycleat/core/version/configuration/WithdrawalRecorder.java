package io.parsleycleat.core.version.configuration;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Appends key withdrawals that are in force but not in the log. The process that accepted one keeps trying; those that
 * read the log help after a while, in case that it is gone.
 *
 * <p>Created by {@link ConfigurationStore}; safe to share between threads.
 */
final class WithdrawalRecorder {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration ATTEMPT = Duration.ofSeconds(2);
    private static final Duration TURN = Duration.ofSeconds(5);

    private final StoreParts parts;
    private final StateHolder holder;
    private final ChangeAppender appender;
    private final Supplier<OptionalInt> rank;
    private final Set<String> accepted = ConcurrentHashMap.newKeySet();
    private final Set<String> underWay = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> firstSeenNanos = new ConcurrentHashMap<>();

    /**
     * Creates a recorder.
     *
     * @param rank the place of this process among those that read the log, if it is one of them
     */
    WithdrawalRecorder(StoreParts parts, StateHolder holder, ChangeAppender appender, Supplier<OptionalInt> rank) {
        this.parts = parts;
        this.holder = holder;
        this.appender = appender;
        this.rank = rank;
    }

    /** Appends a withdrawal that this process accepted, and fails when it is not read back soon. */
    CompletableFuture<AuditEntry> record(Change change) {
        accepted.add(change.getItemId());
        return attempt(change);
    }

    /** Tries again what is not in the log yet. Called at short intervals. */
    void tick() {
        Map<String, Change> pending = holder.known().withdrawals();
        accepted.retainAll(pending.keySet());
        firstSeenNanos.keySet().retainAll(pending.keySet());
        pending.values().stream().filter(this::isDue).forEach(this::attempt);
    }

    private boolean isDue(Change change) {
        if (underWay.contains(change.getItemId())) {
            return false;
        }
        long now = parts.time().monotonicNanos();
        long age = now - firstSeenNanos.computeIfAbsent(change.getItemId(), id -> now);
        OptionalInt place = rank.get();
        return accepted.contains(change.getItemId())
                || (place.isPresent()
                        && age >= TURN.multipliedBy(place.getAsInt() + 1L).toNanos());
    }

    private CompletableFuture<AuditEntry> attempt(Change change) {
        underWay.add(change.getItemId());
        return appender.append(unusedId(change), ATTEMPT).whenComplete((entry, failure) -> {
            underWay.remove(change.getItemId());
            if (failure != null) {
                logger.atFine().log("the withdrawal of key %s is not in the log yet", change.getItemId());
            }
        });
    }

    /** A change id that was used for something else would hide the withdrawal from the fold. */
    private Change unusedId(Change change) {
        boolean used = holder.state()
                .result(change.getChangeId())
                .filter(entry -> !entry.getChange().getItemId().equals(change.getItemId()))
                .isPresent();
        return used
                ? change.toBuilder()
                        .setChangeId("withdraw-" + change.getItemId())
                        .build()
                : change;
    }
}
