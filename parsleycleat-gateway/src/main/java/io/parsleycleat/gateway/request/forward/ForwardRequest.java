package io.parsleycleat.gateway.request.forward;

import com.google.common.hash.Hasher;
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
 * A caller's decoded request. Immutable.
 *
 * <p>Decoded by a {@link CallCodec} for each request.
 *
 * @param id the id that the caller chose; a retry by the caller has a new one
 * @param target the path with its query
 * @param key the caller's key; null if it sent none
 * @param deadline how long the caller waits, from the arrival of the request; null if it set no deadline
 * @param adapter the adapter or base model that runs the request; null for plain services
 * @param tokens prompt and output tokens; null if the caller did not count them
 * @param sharedPromptParts ids of the parts at the start of the prompt that other requests may share, in order; the
 *     part that belongs to this request alone is not among them
 * @param resumeAfterEventId the id of the last event that the caller has; null for a stream from its start
 * @param headers the end-to-end headers, which are passed on unchanged
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
        List<String> sharedPromptParts,
        @Nullable Long resumeAfterEventId,
        List<Map.Entry<String, String>> headers,
        ByteString body) {
    /**
     * The token counts of a completion.
     *
     * @param prompt tokens of the prompt
     * @param output the most tokens that may be generated
     */
    public record TokenCounts(int prompt, int output) {
        /** Returns the sum of prompt and output tokens. */
        public int sum() {
            return prompt + output;
        }
    }

    public ForwardRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(target, "target");
        sharedPromptParts = List.copyOf(sharedPromptParts);
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Returns the path without the query. */
    public String path() {
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target : target.substring(0, queryStart);
    }

    /** Returns how long the caller waits, if it set a deadline. */
    public Optional<Duration> callerDeadline() {
        return Optional.ofNullable(deadline);
    }

    /** Returns a hash of key, method, host, target and body, by which repeats of the same request are recognised. */
    public String fingerprint() {
        Hasher hasher = Hashing.murmur3_128()
                .newHasher()
                .putString(key == null ? "" : key, StandardCharsets.UTF_8)
                .putChar('\n')
                .putString(method + ' ' + host + target, StandardCharsets.UTF_8)
                .putChar('\n');
        body.asReadOnlyByteBufferList().forEach(hasher::putBytes);
        return hasher.hash().toString();
    }
}
