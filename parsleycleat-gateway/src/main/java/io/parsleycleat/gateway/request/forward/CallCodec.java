package io.parsleycleat.gateway.request.forward;

import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.gateway.connection.upstream.AnswerHead;
import io.parsleycleat.gateway.connection.upstream.UpstreamRequest;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;

/**
 * Translates between the calls of a deployment and the gateway's types. Implementations are stateless and safe to
 * share.
 */
public interface CallCodec {
    /** Decodes a caller's request, or says why it cannot be understood. */
    Either<Refusal, ForwardRequest> decode(CallerRequest request);

    /** Encodes a request for one upstream. */
    UpstreamRequest encode(ForwardRequest request, SendParameters parameters);

    /** Decodes what an answer says beside its body. */
    AnswerMetadata decodeMetadata(AnswerHead head);

    /** Returns the headers of an answer that the caller gets. */
    List<Map.Entry<String, String>> callerHeaders(AnswerHead head);

    /** Sends a refusal as the whole answer; the id is empty when the request could not be decoded. */
    void refuse(CallerExchange exchange, String requestId, Refusal refusal);
}
