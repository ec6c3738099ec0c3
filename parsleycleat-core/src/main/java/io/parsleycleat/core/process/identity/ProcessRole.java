package io.parsleycleat.core.process.identity;

import java.util.Arrays;
import java.util.Optional;

/** What a process of the fleet does. */
public enum ProcessRole {
    /** Serves callers and operators. */
    ENTRY("entry"),
    /** Stands beside one upstream. */
    SIDE("side");

    private final String label;

    ProcessRole(String label) {
        this.label = label;
    }

    /** Returns the name that settings, frames and the VM list use. */
    public String label() {
        return label;
    }

    /** Returns the role with this label, if there is one. */
    public static Optional<ProcessRole> ofLabel(String label) {
        return Arrays.stream(values()).filter(r -> r.label.equals(label)).findFirst();
    }
}
