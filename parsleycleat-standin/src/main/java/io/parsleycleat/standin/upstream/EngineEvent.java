package io.parsleycleat.standin.upstream;

import io.parsleycleat.standin.http.Header;
import java.util.List;
import java.util.Objects;

/**
 * Something that an engine saw. Immutable.
 *
 * @param runId the run, or an empty text
 * @param model the adapter and version, {@code adapter@version}, or an empty text
 */
public record EngineEvent(
        Kind kind, String incarnation, String runId, String model, String detail, List<Header> headers, String body) {
    public EngineEvent {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(runId, "runId");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(detail, "detail");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** What was seen. */
    public enum Kind {
        /** A run was accepted. */
        RUN,
        /** A run was refused before it started. */
        RUN_REFUSED,
        /** A run's answer was asked for again. */
        RESUME,
        /** A run was cancelled. */
        CANCEL,
        /** A load was ordered. */
        LOAD,
        /** An adapter that was ordered can run. */
        LOADED,
        /** A load failed, or there was no free slot. */
        LOAD_FAILED,
        /** An unload was ordered. */
        UNLOAD,
        /** An order was refused because of its old fencing number. */
        ORDER_FENCED,
        /** Something that must never happen: an adapter unloaded in use, a run sent twice, an old order obeyed. */
        VIOLATION,
        /** The engine crashed and lost everything. */
        CRASH
    }
}
