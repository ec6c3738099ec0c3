package io.parsleycleat.standin.history;

import java.util.Objects;

/** What a check found wrong. */
public record Violation(String check, String detail) {
    public Violation {
        Objects.requireNonNull(check, "check");
        Objects.requireNonNull(detail, "detail");
    }
}
