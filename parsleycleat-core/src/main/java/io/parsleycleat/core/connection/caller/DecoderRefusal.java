package io.parsleycleat.core.connection.caller;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.logging.LogText;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import java.util.concurrent.TimeUnit;

/** What a caller is told about a request that could not be decoded. Stateless. */
final class DecoderRefusal {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private DecoderRefusal() {}

    /** Returns the refusal, and logs why the request was not decoded, once a second at most. */
    static Refusal of(DecoderResult result) {
        Throwable cause = result.cause();
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        Refusal refusal = tooLong
                ? Refusal.of(ResultCode.HEADERS_TOO_LARGE)
                : Refusal.of(ResultCode.REQUEST_MALFORMED, "not a valid HTTP message");
        logger.atInfo()
                .atMostEvery(1, TimeUnit.SECONDS)
                .with(LogKeys.CODE, refusal.code().number())
                .log("request not decoded: %s", LogText.firstPrintable(String.valueOf(cause)));
        return refusal;
    }
}
