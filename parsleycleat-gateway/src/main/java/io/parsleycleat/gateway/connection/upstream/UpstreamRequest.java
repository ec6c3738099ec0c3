package io.parsleycleat.gateway.connection.upstream;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A request as it is sent to an upstream. Immutable.
 *
 * @param target the path with its query
 * @param id the caller's id of the request, which the upstream repeats in its answer
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
