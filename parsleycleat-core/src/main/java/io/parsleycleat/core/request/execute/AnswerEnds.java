package io.parsleycleat.core.request.execute;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.run.AnswerEnd;
import java.time.Duration;

/** Makes the ends of answers. Stateless. */
final class AnswerEnds {
    private AnswerEnds() {}

    /** Returns the end of an answer that is refused. */
    static AnswerEnd.Builder refused(String upstreamId, Refusal refusal) {
        return AnswerEnd.newBuilder()
                .setUpstreamId(upstreamId)
                .setCode(refusal.code().number())
                .setDetail(refusal.detail())
                .setRetryAfterMillis(refusal.retry().map(Duration::toMillis).orElse(0L));
    }

    /** Returns the end of an answer that broke off. */
    static AnswerEnd.Builder failed(String upstreamId, ResultCode code, String detail) {
        return refused(upstreamId, Refusal.of(code, detail));
    }

    /** Returns the end of an answer that is whole. */
    static AnswerEnd.Builder done(String upstreamId) {
        return AnswerEnd.newBuilder().setUpstreamId(upstreamId).setCode(ResultCode.DONE.number());
    }
}
