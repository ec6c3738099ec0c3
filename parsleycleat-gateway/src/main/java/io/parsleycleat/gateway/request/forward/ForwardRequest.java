package io.parsleycleat.gateway.request.forward;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.parsleycleat.gateway.version.routes.AdapterId;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request, decoded. Immutable.
 *
 * @param id the caller's id, one for each attempt of its own
 * @param target the path with its query
 * @param key the caller's key, if it sent one
 * @param deadline how long the caller waits, from the request's arrival; null when it did not say
 * @param adapter what the request runs on; null for plain services
 * @param tokens prompt and output tokens; null when the caller did not count them
 * @param resumeAfterEventId the last event that the caller has; null for a stream from its start
 * @param headers the end-to-end headers that pass as they are
 */
public record ForwardRequest(
        String id,
        String method,
        String host,
        String target,
        @Nullable String key,
        @Nullable Duration deadline,
        @Nullable AdapterId adapter,
        @Nullable TokenCounts tokens,
        @Nullable Long resumeAfterEventId,
        List<Map.Entry<String, String>> headers,
        ByteString body) {
    /** The size of a generation: tokens of its prompt, and the most that it may bring forth. */
    public record TokenCounts(int prompt, int output) {
        /** Returns both together. */
        public int sum() {
            return prompt + output;
        }
    }

    public ForwardRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(target, "target");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Returns the path without the query. */
    public String path() {
        int mark = target.indexOf('?');
        return mark < 0 ? target : target.substring(0, mark);
    }

    /** Returns how long the caller waits, if it said so. */
    public Optional<Duration> callerDeadline() {
        return Optional.ofNullable(deadline);
    }

    /** Returns what tells a repeat of this request from others: caller, path and body. */
    public String fingerprint() {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key == null ? "" : key, StandardCharsets.UTF_8)
                .putChar('\n')
                .putString(method + ' ' + host + target, StandardCharsets.UTF_8)
                .putChar('\n')
                .putBytes(body.toByteArray())
                .hash()
                .toString();
    }
}
