package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.gateway.version.routes.AdapterId;
import java.util.Objects;

/**
 * An order to an engine to load or unload a base model or an adapter. Immutable.
 *
 * @param target the adapter or base model
 * @param version the adapter's version; 0 for the newest
 * @param expectedAcceptedOrders the number of orders that the engine must have accepted so far; otherwise it refuses
 * @param fencingToken the fencing token of the side that sends the order
 * @param engineId the engine that must carry out the order
 */
public record ModelOrder(
        Operation operation,
        AdapterId target,
        long version,
        long expectedAcceptedOrders,
        long fencingToken,
        String engineId) {
    /** The operation to carry out. */
    public enum Operation {
        LOAD,
        UNLOAD
    }

    /** The result of an order. */
    public enum Outcome {
        /** The engine accepted the order and is carrying it out. */
        STARTED,
        /** The requested state holds already. */
        DONE,
        /** Another order is in progress, or other orders were accepted since the last report. */
        CONFLICT,
        /** The engine has received a higher fencing token. */
        FENCED,
        /** The engine does not support the order. */
        INVALID,
        /** Another engine now uses the address. */
        WRONG_ENGINE,
        /** No answer arrived; the order may have been accepted, or may be accepted later. */
        UNKNOWN
    }

    public ModelOrder {
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(engineId, "engineId");
    }
}
