package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.gateway.version.routes.AdapterId;
import java.util.Objects;

/**
 * An order to an engine. Immutable.
 *
 * @param target the adapter, or the base model
 * @param version the adapter's version; 0 for the newest
 * @param expectedAcceptedOrders how many orders the engine must have accepted, or else it refuses this one
 * @param fencingToken the fencing number of the side that gives the order
 */
public record ModelOrder(
        Operation operation,
        AdapterId target,
        long version,
        long expectedAcceptedOrders,
        long fencingToken,
        String engineId) {
    /** What the engine is to do. */
    public enum Operation {
        LOAD,
        UNLOAD
    }

    /** What came of an order. */
    public enum Outcome {
        /** It is being carried out. */
        STARTED,
        /** It holds already. */
        DONE,
        /** Another order is under way, or other orders were accepted since the last report. */
        CONFLICT,
        /** A higher fencing number was seen. */
        FENCED,
        /** The engine does not know such an order. */
        INVALID,
        /** The address belongs to another engine by now. */
        WRONG_ENGINE,
        /** There was no answer: it may have been accepted, or may still be. */
        UNKNOWN
    }

    public ModelOrder {
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(engineId, "engineId");
    }
}
