package io.parsleycleat.core.request.routing;

import io.parsleycleat.core.connection.platform.Vm;
import java.util.Objects;

/** The chosen upstream with its side, and why it was chosen. */
public record Selection(Vm side, String reason) {
    public Selection {
        Objects.requireNonNull(side, "side");
        Objects.requireNonNull(reason, "reason");
    }

    /** Returns the id of the chosen upstream. */
    public String upstreamId() {
        return side.upstreamId();
    }
}
