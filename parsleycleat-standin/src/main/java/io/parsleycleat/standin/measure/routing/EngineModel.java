package io.parsleycleat.standin.measure.routing;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.connection.upstream.EngineAnswer;
import io.parsleycleat.core.connection.upstream.EngineHandle;
import io.parsleycleat.core.connection.upstream.EngineRun;
import io.parsleycleat.core.connection.upstream.EngineState;
import io.parsleycleat.core.connection.upstream.ModelEngine;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.result.UpstreamException;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * A model engine with continuous batching: a step takes longer with each run and each further adapter in the batch.
 *
 * <p>Created for each run and engine; used by one thread.
 */
final class EngineModel implements ModelEngine {
    private static final double STEP_MILLIS = 18;
    private static final double STEP_MILLIS_PER_RUN = 0.7;
    private static final double STEP_MILLIS_PER_ADAPTER = 1.2;
    private static final double PREFILL_MILLIS = 60;
    private static final double CACHED_PREFILL_MILLIS = 15;
    private static final double UNLOAD_MILLIS = 2;

    /** A run in the batch. */
    private static final class Job {
        private final AdapterVersion adapter;
        private final Runnable firstToken;
        private final Runnable end;
        private double tokensLeft;
        private boolean started;

        Job(AdapterVersion adapter, double tokens, Runnable firstToken, Runnable end) {
            this.adapter = adapter;
            this.tokensLeft = tokens;
            this.firstToken = firstToken;
            this.end = end;
        }
    }

    private final VirtualTime time;
    private final Deployment deployment;
    private final WeightStoreModel store;
    private final Measures measures;
    private final Set<AdapterVersion> loaded = new LinkedHashSet<>();
    private final Map<String, Job> batch = new LinkedHashMap<>();
    private double lastMillis;
    private long changes;

    EngineModel(VirtualTime time, Deployment deployment, WeightStoreModel store, Measures measures) {
        this.time = time;
        this.deployment = deployment;
        this.store = store;
        this.measures = measures;
    }

    /** Starts a run whose answer has this many tokens. */
    void start(
            String runId, AdapterVersion adapter, int tokens, boolean prefixCached, Runnable firstToken, Runnable end) {
        if (!loaded.contains(adapter)) {
            throw new IllegalStateException(adapter + " is not loaded");
        }
        double prefill = prefixCached ? CACHED_PREFILL_MILLIS : PREFILL_MILLIS;
        time.after(prefill, () -> {
            advance();
            batch.put(runId, new Job(adapter, tokens, firstToken, end));
            planNext();
        });
    }

    private double stepMillis() {
        return STEP_MILLIS + STEP_MILLIS_PER_RUN * batch.size() + STEP_MILLIS_PER_ADAPTER * distinct();
    }

    private long distinct() {
        return batch.values().stream().map(j -> j.adapter).distinct().count();
    }

    private void advance() {
        double elapsed = time.millis() - lastMillis;
        lastMillis = time.millis();
        if (batch.isEmpty()) {
            return;
        }
        measures.batch(elapsed, batch.size(), distinct());
        double tokens = elapsed / stepMillis();
        batch.values().forEach(j -> j.tokensLeft -= tokens);
    }

    private void planNext() {
        long change = ++changes;
        double step = stepMillis();
        batch.values().stream().filter(j -> !j.started).forEach(j -> {
            j.started = true;
            time.after(step, j.firstToken);
        });
        batch.values().stream()
                .mapToDouble(j -> Math.max(0, j.tokensLeft))
                .min()
                .ifPresent(least -> time.after(least * step + 1e-3, () -> complete(change)));
    }

    private void complete(long change) {
        if (change != changes) {
            return;
        }
        advance();
        Map<String, Job> ended = new LinkedHashMap<>(batch);
        ended.values().removeIf(j -> j.tokensLeft > 0);
        batch.keySet().removeAll(ended.keySet());
        planNext();
        ended.values().forEach(j -> j.end.run());
    }

    // Orders

    @Override
    public CompletableFuture<EngineState> state() {
        return CompletableFuture.completedFuture(
                new EngineState("1", "base", deployment.slots(), deployment.batchSize(), loaded, batch.size(), 0));
    }

    @Override
    public CompletableFuture<Void> load(AdapterVersion adapter, long fencingNumber) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        measures.load();
        time.after(store.loadMillis(), () -> {
            if (loaded.size() >= deployment.slots()) {
                done.completeExceptionally(
                        new UpstreamException(ResultCode.LOAD_FAILED, "no slot", Location.of("engine")));
                return;
            }
            loaded.add(adapter);
            done.complete(null);
        });
        return done;
    }

    @Override
    public CompletableFuture<Void> unload(AdapterVersion adapter, long fencingNumber) {
        if (batch.values().stream().anyMatch(j -> j.adapter.equals(adapter))) {
            throw new IllegalStateException(adapter + " is in use");
        }
        CompletableFuture<Void> done = new CompletableFuture<>();
        loaded.remove(adapter);
        time.after(UNLOAD_MILLIS, () -> done.complete(null));
        return done;
    }

    @Override
    public EngineHandle run(EngineRun run, EngineAnswer answer) {
        throw new UnsupportedOperationException("the benchmark starts runs by their length");
    }

    @Override
    public EngineHandle resume(String runId, long fromToken, EngineAnswer answer) {
        throw new UnsupportedOperationException("the benchmark resumes no run");
    }

    @Override
    public CompletableFuture<Void> cancel(String runId) {
        throw new UnsupportedOperationException("the benchmark cancels no run");
    }
}
