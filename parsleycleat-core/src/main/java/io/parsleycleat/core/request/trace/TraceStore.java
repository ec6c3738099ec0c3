package io.parsleycleat.core.request.trace;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.wire.operators.ExplainEvent;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * The traces of the newest requests of this process.
 *
 * <p>One a process; safe to share between threads. Traces are kept in shards, each under its own lock.
 */
public final class TraceStore {
    private static final int SHARDS = 8;
    private static final int TRACES_PER_SHARD = 256;

    private final TimeSource time;
    private final List<Shard> shards =
            IntStream.range(0, SHARDS).mapToObj(i -> new Shard()).toList();

    /** Creates an empty store. */
    public TraceStore(TimeSource time) {
        this.time = time;
    }

    /** Starts the trace of a request; the oldest one makes room. */
    public RequestTrace begin(String requestId) {
        RequestTrace trace = new RequestTrace(requestId, time);
        shard(requestId).put(trace);
        return trace;
    }

    /** Returns the decisions about a request, if it is still known. */
    public Optional<List<ExplainEvent>> find(String requestId) {
        return shard(requestId).get(requestId).map(RequestTrace::events);
    }

    private Shard shard(String requestId) {
        return shards.get(Math.floorMod(requestId.hashCode(), SHARDS));
    }

    /** A part of the traces under one lock. */
    private static final class Shard {
        private final Map<String, RequestTrace> traces = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, RequestTrace> eldest) {
                return size() > TRACES_PER_SHARD;
            }
        };

        synchronized void put(RequestTrace trace) {
            traces.put(trace.requestId(), trace);
        }

        synchronized Optional<RequestTrace> get(String requestId) {
            return Optional.ofNullable(traces.get(requestId));
        }
    }
}
