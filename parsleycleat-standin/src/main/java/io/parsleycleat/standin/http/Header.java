package io.parsleycleat.standin.http;

import java.util.Objects;

/** One header of a request, as it arrived. Immutable. */
public record Header(String name, String value) {
    public Header {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }
}
