package io.parsleycleat.standin.upstream;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Batches an engine's runs continuously: at each step every run in the batch gets one token, and runs that wait join in
 * the order of priority and arrival.
 *
 * <p>Created by {@link ModelEngineStandIn}; every method holds the scheduler's lock.
 */
final class BatchScheduler {
    private static final int FINISHED_KEPT = 1_000;

    private final EngineOptions options;
    private final ScheduledExecutorService executor;
    private final Runnable crash;
    private final PrefixCache cache;
    private final TreeMap<Place, Run> waiting =
            new TreeMap<>(Comparator.comparingInt(Place::priority).thenComparingLong(Place::arrival));
    private final List<Run> batch = new ArrayList<>();
    private final Map<String, Run> known = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Run> eldest) {
            return size() > FINISHED_KEPT + waiting.size() + batch.size()
                    && eldest.getValue().isDone();
        }
    };
    private final long[] fillCounts;
    private final long[] adapterCounts;
    private long arrivals;
    private long epoch;
    private boolean stepping;
    private boolean hanging;
    private double slowness = 1;
    private long tokens;
    private long busyNanos;
    private long cachedPromptTokens;
    private long promptTokens;
    private long crashes;

    /**
     * Creates a scheduler without runs.
     *
     * @param crash called when a run crashes the engine
     */
    BatchScheduler(
            EngineOptions options,
            ScheduledExecutorService executor,
            Runnable crash,
            Consumer<PrefixCache.CacheEvent> events) {
        this.options = options;
        this.executor = executor;
        this.crash = crash;
        this.cache = new PrefixCache(options.prefixCacheBlocks(), events);
        this.fillCounts = new long[options.batchSize() + 1];
        this.adapterCounts = new long[options.batchSize() + 1];
    }

    // Runs

    /** Takes a run and its listener, unless too many wait. */
    synchronized boolean submit(Run run, RunListener listener) {
        if (waiting.size() >= options.maxWaiting()) {
            return false;
        }
        run.attach(listener, 0);
        known.put(run.id(), run);
        waiting.put(new Place(run.priority(), arrivals++), run);
        if (!stepping && !hanging) {
            beginStep();
        }
        return true;
    }

    synchronized boolean isKnown(String runId) {
        return known.containsKey(runId);
    }

    /** Tells a run's answer again from a token on; false when the run is not known. */
    synchronized boolean resume(String runId, long from, RunListener listener) {
        return Optional.ofNullable(known.get(runId))
                .map(run -> {
                    run.attach(listener, from);
                    return true;
                })
                .orElse(false);
    }

    synchronized boolean cancel(String runId) {
        Run run = known.get(runId);
        if (run == null || run.isDone()) {
            return false;
        }
        run.cancel();
        waiting.values().remove(run);
        batch.remove(run);
        return true;
    }

    /** Breaks off the runs of an adapter and returns how many there were. */
    synchronized long breakOff(String model) {
        return breakOff(run -> run.model().equals(model));
    }

    /** Breaks off all runs and forgets everything, as a restart does. */
    synchronized void reset() {
        crashes++;
        epoch++;
        stepping = false;
        breakOff(run -> true);
        known.clear();
        cache.clear();
    }

    // Faults and reports

    synchronized void setHanging(boolean value) {
        hanging = value;
        if (!hanging && !stepping) {
            beginStep();
        }
    }

    synchronized void setSlowness(double factor) {
        slowness = factor;
    }

    synchronized int running() {
        return batch.size();
    }

    synchronized int waiting() {
        return waiting.size();
    }

    synchronized EngineStatistics statistics() {
        return new EngineStatistics(
                options.batchSize(),
                options.slots(),
                Arrays.stream(fillCounts).boxed().toList(),
                Arrays.stream(adapterCounts).boxed().toList(),
                tokens,
                busyNanos,
                cachedPromptTokens,
                promptTokens,
                crashes);
    }

    // Internals

    private void beginStep() {
        long prefill = admit();
        stepping = !batch.isEmpty();
        if (!stepping) {
            return;
        }
        int distinct = (int) batch.stream().map(Run::model).distinct().count();
        double fill = (double) batch.size() / options.batchSize();
        long nanos = (long) (options.timing().stepNanos(fill, distinct, prefill) * slowness);
        fillCounts[batch.size()]++;
        adapterCounts[distinct]++;
        busyNanos += nanos;
        long current = epoch;
        executor.schedule(() -> endStep(current), nanos, TimeUnit.NANOSECONDS);
    }

    private void endStep(long stepEpoch) {
        boolean crashed;
        synchronized (this) {
            if (stepEpoch != epoch) {
                return;
            }
            stepping = false;
            crashed = batch.stream().anyMatch(Run::isCrashing);
            if (!crashed && !hanging) {
                batch.forEach(Run::advance);
                tokens += batch.size();
                batch.removeIf(Run::isDone);
            }
            if (!crashed && !hanging) {
                beginStep();
            }
        }
        if (crashed) {
            crash.run();
        }
    }

    /** Moves waiting runs into the batch and returns how many of their prompt tokens were not cached. */
    private long admit() {
        long uncached = 0;
        while (batch.size() < options.batchSize() && !waiting.isEmpty()) {
            Run run = waiting.pollFirstEntry().getValue();
            int cached = cache.admit(run.model(), run.prompt());
            cachedPromptTokens += cached;
            promptTokens += run.promptTokens();
            uncached += Math.max(0, run.promptTokens() - cached);
            batch.add(run);
        }
        return uncached;
    }

    private long breakOff(Predicate<Run> chosen) {
        List<Run> broken = known.values().stream()
                .filter(run -> !run.isDone())
                .filter(chosen)
                .toList();
        broken.forEach(run -> {
            run.breakOff();
            known.remove(run.id());
            waiting.values().remove(run);
            batch.remove(run);
        });
        return broken.size();
    }

    /** Where a run stands in the queue. */
    private record Place(int priority, long arrival) {}
}
