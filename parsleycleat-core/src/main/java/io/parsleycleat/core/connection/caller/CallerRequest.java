package io.parsleycleat.core.connection.caller;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** A caller's request, read as a whole. Immutable and safe to share. */
public record CallerRequest(String method, String uri, List<Map.Entry<String, String>> headers, ByteString body) {
    public CallerRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Returns the first header with a name, whatever its case. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(h -> h.getKey().equalsIgnoreCase(name))
                .map(Map.Entry::getValue)
                .findFirst();
    }

    /** Returns the path without the query. */
    public String path() {
        int mark = uri.indexOf('?');
        return mark < 0 ? uri : uri.substring(0, mark);
    }
}
