package io.parsleycleat.gateway.request.forward;

import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.connection.upstream.UpstreamRequest;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;

/**
 * Translates between the HTTP conventions of a deployment and the gateway's types.
 *
 * <p>Created once per entry. Implementations are stateless and safe to share between threads.
 */
public interface CallCodec {
    /** Decodes a caller's request, or returns the refusal that states why it cannot be decoded. */
    Either<Refusal, ForwardRequest> decode(CallerRequest request);

    /** Encodes a request to one upstream. */
    UpstreamRequest encode(ForwardRequest request, SendParameters parameters);

    /** Decodes the metadata in the head of an upstream's answer. */
    AnswerMetadata decodeMetadata(ResponseHead head);

    /** Returns the headers of an upstream's answer that are passed on to the caller. */
    List<Map.Entry<String, String>> callerHeaders(ResponseHead head);

    /** Sends a refusal as the whole answer; the request id is empty if the request could not be decoded. */
    void refuse(CallerExchange exchange, String requestId, Refusal refusal);
}
