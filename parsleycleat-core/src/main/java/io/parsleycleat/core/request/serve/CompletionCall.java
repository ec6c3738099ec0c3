package io.parsleycleat.core.request.serve;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.process.limits.TokenCost;
import java.util.Objects;

/**
 * What a completion request asks for.
 *
 * @param version empty for the adapter's current version
 * @param cost what the completion may take of its account's budget
 * @param prefixHash hash of the first part of the prompt
 * @param body the caller's JSON without the model's name
 */
record CompletionCall(
        boolean chat,
        String adapterId,
        String version,
        boolean streamed,
        TokenCost cost,
        long prefixHash,
        ByteString body) {
    CompletionCall {
        Objects.requireNonNull(adapterId, "adapterId");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(cost, "cost");
        Objects.requireNonNull(body, "body");
    }
}
