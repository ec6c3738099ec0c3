package io.parsleycleat.core.version.configuration;

import io.parsleycleat.core.connection.platform.Vm;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * Keeps asking other processes for news, one at a time. A source that did not answer is left alone for a while.
 *
 * <p>Created by {@link ConfigurationStore}; safe to share between threads.
 */
final class SourceFollower {
    private static final long PAUSE_MILLIS = 250;
    private static final long LEFT_ALONE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final StoreParts parts;
    private final StateHolder holder;
    private final PeerPuller puller;
    private final Supplier<Plan> plan;
    private final AtomicBoolean running = new AtomicBoolean();
    private final Map<String, Long> failedNanos = new ConcurrentHashMap<>();
    private final Map<String, Long> askedNanos = new ConcurrentHashMap<>();
    private volatile boolean withoutSource;

    /**
     * Whom to ask now. Created for each question; immutable.
     *
     * @param sources in the order of preference; none when nobody is to be asked
     * @param inTurn whether all are asked in turn rather than the first that answers
     */
    record Plan(List<Vm> sources, Duration maxWait, boolean inTurn) {
        static final Plan NONE = new Plan(List.of(), Duration.ZERO, false);

        Plan {
            sources = List.copyOf(sources);
        }
    }

    SourceFollower(StoreParts parts, StateHolder holder, PeerPuller puller, Supplier<Plan> plan) {
        this.parts = parts;
        this.holder = holder;
        this.puller = puller;
        this.plan = plan;
    }

    /** Starts to ask when that is planned and not under way. */
    void wake() {
        if (running.compareAndSet(false, true)) {
            step();
        }
    }

    /** Returns whether no source answered lately. */
    boolean isWithoutSource() {
        return withoutSource;
    }

    private void step() {
        Plan now = plan.get();
        Optional<Vm> chosen = choose(now);
        if (chosen.isEmpty()) {
            running.set(false);
            return;
        }
        Vm source = chosen.get();
        KnownConfiguration before = holder.known();
        long start = parts.time().monotonicNanos();
        askedNanos.put(source.name(), start);
        puller.pull(source, now.maxWait()).whenComplete((done, failure) -> {
            noteAnswer(source, failure == null);
            boolean early =
                    parts.time().monotonicNanos() - start < now.maxWait().toNanos() / 2;
            long pause = failure != null || (early && isUnchangedSince(before)) ? PAUSE_MILLIS : 0;
            parts.scheduler().schedule(this::step, pause, TimeUnit.MILLISECONDS);
        });
    }

    private Optional<Vm> choose(Plan now) {
        failedNanos.keySet().retainAll(now.sources().stream().map(Vm::name).toList());
        askedNanos.keySet().retainAll(now.sources().stream().map(Vm::name).toList());
        List<Vm> answering =
                now.sources().stream().filter(vm -> !isLeftAlone(vm)).toList();
        withoutSource = answering.isEmpty() && !now.sources().isEmpty();
        if (withoutSource) {
            return now.sources().stream().min(Comparator.comparing(vm -> failedNanos.getOrDefault(vm.name(), 0L)));
        }
        return now.inTurn()
                ? answering.stream().min(Comparator.comparing(vm -> askedNanos.getOrDefault(vm.name(), 0L)))
                : answering.stream().findFirst();
    }

    private boolean isLeftAlone(Vm vm) {
        Long failed = failedNanos.get(vm.name());
        return failed != null && parts.time().monotonicNanos() - failed < LEFT_ALONE_NANOS;
    }

    private void noteAnswer(Vm source, boolean answered) {
        if (answered) {
            failedNanos.remove(source.name());
        } else {
            failedNanos.put(source.name(), parts.time().monotonicNanos());
        }
    }

    private boolean isUnchangedSince(KnownConfiguration before) {
        KnownConfiguration now = holder.known();
        return now.version() == before.version()
                && now.withdrawals().keySet().equals(before.withdrawals().keySet());
    }
}
