package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.connection.upstream.EngineAnswer;
import io.parsleycleat.core.connection.upstream.EngineHandle;
import io.parsleycleat.core.connection.upstream.EngineRun;
import io.parsleycleat.core.connection.upstream.EngineState;
import io.parsleycleat.core.connection.upstream.ModelEngine;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.result.UpstreamException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** An engine whose orders complete when the test says so, or at once. */
final class FakeEngine implements ModelEngine {
    final List<String> orders = new ArrayList<>();
    final Deque<CompletableFuture<Void>> open = new ArrayDeque<>();
    final Set<AdapterVersion> loaded = new LinkedHashSet<>();
    boolean atOnce;
    boolean throwing;
    boolean checksFencing;
    long highestFencing;
    String incarnation = "1";
    int slots = 2;

    @Override
    public synchronized CompletableFuture<EngineState> state() {
        return CompletableFuture.completedFuture(new EngineState(incarnation, "base", slots, 8, loaded, 0, 0));
    }

    EngineState report() {
        return state().join();
    }

    @Override
    public CompletableFuture<Void> load(AdapterVersion adapter, long fencingNumber) {
        return order("load " + adapter, fencingNumber, () -> loaded.add(adapter));
    }

    @Override
    public CompletableFuture<Void> unload(AdapterVersion adapter, long fencingNumber) {
        return order("unload " + adapter, fencingNumber, () -> loaded.remove(adapter));
    }

    void completeNext() {
        open.remove().complete(null);
    }

    void failNext(ResultCode code) {
        open.remove().completeExceptionally(failure(code));
    }

    private synchronized CompletableFuture<Void> order(String name, long fencingNumber, Runnable effect) {
        if (throwing) {
            throw new IllegalStateException("a fault of the test");
        }
        if (checksFencing && fencingNumber < highestFencing) {
            return CompletableFuture.failedFuture(failure(ResultCode.ORDER_FENCED));
        }
        highestFencing = Math.max(highestFencing, fencingNumber);
        orders.add(name);
        if (atOnce) {
            effect.run();
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> future = new CompletableFuture<>();
        open.add(future);
        return future.thenRun(effect);
    }

    private static UpstreamException failure(ResultCode code) {
        return new UpstreamException(code, "test", Location.of("engine"));
    }

    @Override
    public EngineHandle run(EngineRun run, EngineAnswer answer) {
        throw new UnsupportedOperationException();
    }

    @Override
    public EngineHandle resume(String runId, long fromToken, EngineAnswer answer) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> cancel(String runId) {
        throw new UnsupportedOperationException();
    }
}
