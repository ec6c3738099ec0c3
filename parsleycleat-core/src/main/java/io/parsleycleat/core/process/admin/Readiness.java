package io.parsleycleat.core.process.admin;

import java.util.Objects;

/** Whether a process can serve, and why not. */
public record Readiness(boolean ready, String reason) {
    /** A process that can serve. */
    public static final Readiness READY = new Readiness(true, "");

    public Readiness {
        Objects.requireNonNull(reason, "reason");
    }

    /** Returns the readiness of a process that cannot serve. */
    public static Readiness notReady(String reason) {
        return new Readiness(false, reason);
    }
}
