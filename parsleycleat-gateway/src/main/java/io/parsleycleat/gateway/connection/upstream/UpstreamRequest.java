package io.parsleycleat.gateway.connection.upstream;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * An HTTP request to an upstream. Immutable.
 *
 * @param target the request target: path and query
 * @param id the caller's request id, which the upstream repeats in its response
 */
public record UpstreamRequest(
        String method, String target, String id, List<Map.Entry<String, String>> headers, ByteString body) {
    public UpstreamRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(id, "id");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }
}
