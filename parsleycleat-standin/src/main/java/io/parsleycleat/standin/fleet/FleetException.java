package io.parsleycleat.standin.fleet;

/** Thrown when a process of a fleet does not start, ends early or does not answer. */
public final class FleetException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public FleetException(String message) {
        super(message);
    }

    /** Creates an exception with a cause. */
    public FleetException(String message, Throwable cause) {
        super(message, cause);
    }
}
