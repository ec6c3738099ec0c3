package io.parsleycleat.standin.http;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** How a stand-in treats the requests that reach it. */
public enum FaultMode {
    /** Requests are served. */
    NONE,
    /** Requests are answered with status 503 and have no effect. */
    REFUSE,
    /** Requests are never answered and have no effect. */
    HANG,
    /** The connection is closed at the request, which has no effect. */
    CUT;

    /** Returns the name that the control interface uses. */
    @JsonValue
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the mode of a label. */
    public static Optional<FaultMode> ofLabel(String label) {
        return Arrays.stream(values()).filter(m -> m.label().equals(label)).findFirst();
    }
}
