package io.parsleycleat.gateway.request;

/** Makes one named action of an entry throw. Safe to share between threads. */
final class Faults {
    private volatile String action = "";

    /** Makes an action throw from now on; an empty name ends that. */
    void throwAt(String newAction) {
        action = newAction;
    }

    /** Throws if the action is the one that shall. */
    void check(String current) {
        if (current.equals(action)) {
            throw new IllegalStateException("fault put into " + current);
        }
    }
}
