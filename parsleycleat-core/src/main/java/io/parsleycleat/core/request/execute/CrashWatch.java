package io.parsleycleat.core.request.execute;

import io.parsleycleat.core.connection.upstream.EngineState;
import io.parsleycleat.core.connection.upstream.ModelEngine;
import io.parsleycleat.wire.outcome.RunningRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Knows which requests run on an engine, and finds out after a lost answer whether the engine crashed.
 *
 * <p>One a side of a model engine; guarded by its own lock.
 */
public final class CrashWatch {
    private final ModelEngine engine;
    private final CrashListener listener;
    private final Map<String, Running> running = new HashMap<>();
    private String incarnation = "";

    /** A request that runs, with the engine's incarnation when it started. */
    private record Running(RunningRequest request, String incarnation) {}

    /** What became of an engine whose answer broke off. */
    public record Verdict(boolean crashed, List<String> fingerprints) {
        public Verdict {
            fingerprints = List.copyOf(fingerprints);
        }
    }

    /** Told once for each crash. */
    @FunctionalInterface
    public interface CrashListener {
        /**
         * Called with the crashed incarnation and all requests that were running on it. Completes
         * when the others know, so that a caller's repeat cannot arrive ahead of the news.
         */
        CompletableFuture<Void> onCrash(String incarnation, List<RunningRequest> requests);
    }

    /** Creates a watch of one engine. */
    public CrashWatch(ModelEngine engine, CrashListener listener) {
        this.engine = engine;
        this.listener = listener;
    }

    /** Tells which incarnation the engine was last seen with. */
    public void onState(EngineState state) {
        synchronized (running) {
            incarnation = state.incarnation();
        }
    }

    void started(String runId, RunningRequest request) {
        synchronized (running) {
            running.put(runId, new Running(request, incarnation));
        }
    }

    void ended(String runId) {
        synchronized (running) {
            running.remove(runId);
        }
    }

    /** Returns the fingerprints of all requests that run now. */
    public List<String> runningFingerprints() {
        synchronized (running) {
            return running.values().stream()
                    .map(r -> r.request().getFingerprint())
                    .distinct()
                    .toList();
        }
    }

    /** Asks the engine whether it is still the one that a run was started on. */
    CompletableFuture<Verdict> examine(String runId) {
        return engine.state()
                .handle((state, failure) -> failure == null ? state.incarnation() : "")
                .thenCompose(now -> judge(runId, now));
    }

    private CompletableFuture<Verdict> judge(String runId, String now) {
        String before;
        List<RunningRequest> requests;
        synchronized (running) {
            Running run = running.get(runId);
            before = run == null ? "" : run.incarnation();
            if (run == null || now.equals(before)) {
                return CompletableFuture.completedFuture(new Verdict(false, List.of()));
            }
            requests = running.values().stream()
                    .filter(r -> r.incarnation().equals(before))
                    .map(Running::request)
                    .distinct()
                    .toList();
        }
        List<String> fingerprints =
                requests.stream().map(RunningRequest::getFingerprint).distinct().toList();
        return listener.onCrash(before, requests).handle((ok, failure) -> new Verdict(true, fingerprints));
    }
}
