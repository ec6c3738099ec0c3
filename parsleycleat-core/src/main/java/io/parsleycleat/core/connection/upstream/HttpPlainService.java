package io.parsleycleat.core.connection.upstream;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.result.UpstreamException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.RequestBuilder;
import org.jspecify.annotations.Nullable;

/**
 * A plain service over HTTP.
 *
 * <p>One for each side; safe to share between threads. A request is never sent twice by this class, whatever its
 * method.
 */
public final class HttpPlainService implements PlainService {
    private static final Duration CHECK_TIMEOUT = Duration.ofSeconds(2);
    private static final long MAX_CHECK_BYTES = 1024L * 1024;
    private static final int STATUS_SERVER_ERROR = 500;

    private final AsyncHttpClient http;
    private final URI base;
    private final Duration timeout;

    /** Creates a client of the service at an address. */
    public HttpPlainService(AsyncHttpClient http, URI base, Duration timeout) {
        this.http = http;
        this.base = base;
        this.timeout = timeout;
    }

    @Override
    public CompletableFuture<Void> check() {
        RequestBuilder request =
                new RequestBuilder("GET").setUrl(base + "/health").setRequestTimeout(CHECK_TIMEOUT);
        return LimitedAnswer.of(http, request.build(), MAX_CHECK_BYTES).thenAccept(response -> {
            if (response.getStatusCode() >= STATUS_SERVER_ERROR) {
                throw failure(ResultCode.UPSTREAM_OUT, "HTTP status " + response.getStatusCode());
            }
        });
    }

    @Override
    public void call(ServiceRequest request, ServiceAnswer answer) {
        RequestBuilder builder = new RequestBuilder(request.method())
                .setUrl(base + request.path())
                .setRequestTimeout(timeout)
                .setReadTimeout(timeout)
                .setBody(request.body().toByteArray());
        request.headers().forEach(h -> builder.addHeader(h.getKey(), h.getValue()));
        AnswerReader reader = new AnswerReader(answer);
        reader.earlyClose.watch(http.executeRequest(builder, reader));
    }

    private UpstreamException failure(ResultCode code, String detail) {
        return new UpstreamException(code, detail, Location.of(base.toString()));
    }

    /** Passes one answer on. Created for each call; used by one thread at a time. */
    private final class AnswerReader implements AsyncHandler<@Nullable Void> {
        private final ServiceAnswer answer;
        private final EarlyClose earlyClose = new EarlyClose();
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile boolean sent;
        private int status;

        AnswerReader(ServiceAnswer answer) {
            this.answer = answer;
        }

        @Override
        public void onTcpConnectSuccess(InetSocketAddress remote, Channel connection) {
            earlyClose.onConnected(remote, connection);
        }

        @Override
        public void onRequestSend(org.asynchttpclient.netty.request.NettyRequest request) {
            sent = true;
        }

        @Override
        public State onStatusReceived(HttpResponseStatus responseStatus) {
            status = responseStatus.getStatusCode();
            return State.CONTINUE;
        }

        @Override
        public State onHeadersReceived(HttpHeaders headers) {
            List<Map.Entry<String, String>> list = headers.entries();
            answer.onHead(status, list);
            return State.CONTINUE;
        }

        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) {
            byte[] bytes = part.getBodyPartBytes();
            if (bytes.length > 0) {
                answer.onBody(bytes);
            }
            return State.CONTINUE;
        }

        @Override
        public void onThrowable(Throwable t) {
            if (ended.compareAndSet(false, true)) {
                boolean neverSent = !sent && (t instanceof ConnectException || earlyClose.isFound());
                answer.onFailure(failure(
                        neverSent ? ResultCode.UPSTREAM_UNREACHABLE : ResultCode.UPSTREAM_LOST, String.valueOf(t)));
            }
        }

        @Override
        public @Nullable Void onCompleted() {
            if (ended.compareAndSet(false, true)) {
                answer.onEnd();
            }
            return null;
        }
    }
}
