package io.parsleycleat.gateway.request;

import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.connection.upstream.UpstreamRequest;
import io.parsleycleat.gateway.request.forward.AnswerMetadata;
import io.parsleycleat.gateway.request.forward.CallCodec;
import io.parsleycleat.gateway.request.forward.ForwardRequest;
import io.parsleycleat.gateway.request.forward.SendParameters;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;

/** A codec whose actions can be made to throw. */
record FaultyCodec(CallCodec codec, Faults faults) implements CallCodec {
    @Override
    public Either<Refusal, ForwardRequest> decode(CallerRequest request) {
        faults.check("decode");
        return codec.decode(request);
    }

    @Override
    public UpstreamRequest encode(ForwardRequest request, SendParameters parameters) {
        faults.check("encode");
        return codec.encode(request, parameters);
    }

    @Override
    public AnswerMetadata decodeMetadata(ResponseHead head) {
        faults.check("metadata");
        return codec.decodeMetadata(head);
    }

    @Override
    public List<Map.Entry<String, String>> callerHeaders(ResponseHead head) {
        faults.check("headers");
        return codec.callerHeaders(head);
    }

    @Override
    public void refuse(CallerExchange exchange, String requestId, Refusal refusal) {
        faults.check("refuse");
        codec.refuse(exchange, requestId, refusal);
    }
}
