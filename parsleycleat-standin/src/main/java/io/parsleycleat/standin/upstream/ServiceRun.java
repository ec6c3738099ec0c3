package io.parsleycleat.standin.upstream;

import io.parsleycleat.standin.http.Header;
import java.util.List;
import java.util.Objects;

/**
 * A request that a plain service saw. Immutable.
 *
 * @param run number of the effect, counted from 1; 0 when the request had none
 */
public record ServiceRun(long run, String method, String uri, List<Header> headers, String body) {
    public ServiceRun {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Tells whether the request had an effect. */
    public boolean hadEffect() {
        return run > 0;
    }

    /** Returns the first value of a header, or an empty text. */
    public String header(String name) {
        return headers.stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(Header::value)
                .findFirst()
                .orElse("");
    }
}
