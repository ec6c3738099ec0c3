package io.parsleycleat.core.connection.upstream;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** A request to a plain service; the path starts with a slash and may have a query. */
public record ServiceRequest(String method, String path, List<Map.Entry<String, String>> headers, ByteString body) {
    public ServiceRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }
}
