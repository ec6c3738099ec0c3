package io.parsleycleat.core.request.trace;

import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.wire.operators.ExplainEvent;
import java.util.ArrayList;
import java.util.List;

/**
 * The decisions about one request, in order.
 *
 * <p>Created by {@link TraceStore} for each request; guarded by its own lock.
 */
public final class RequestTrace {
    private static final int MAX_EVENTS = 32;

    private final String requestId;
    private final TimeSource time;
    private final Object lock = new Object();
    private final List<ExplainEvent> events = new ArrayList<>();

    RequestTrace(String requestId, TimeSource time) {
        this.requestId = requestId;
        this.time = time;
    }

    /** Returns the request's id. */
    public String requestId() {
        return requestId;
    }

    /** Adds a decision. */
    public void add(String step, String detail) {
        ExplainEvent event = ExplainEvent.newBuilder()
                .setTimeMillis(time.wallMillis())
                .setStep(step)
                .setDetail(detail)
                .build();
        synchronized (lock) {
            if (events.size() < MAX_EVENTS) {
                events.add(event);
            }
        }
    }

    /** Returns the decisions so far. */
    public List<ExplainEvent> events() {
        synchronized (lock) {
            return List.copyOf(events);
        }
    }
}
