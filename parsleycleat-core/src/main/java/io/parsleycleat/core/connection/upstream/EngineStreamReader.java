package io.parsleycleat.core.connection.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.result.UpstreamException;
import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.netty.request.NettyRequest;
import org.jspecify.annotations.Nullable;

/**
 * Reads an engine's answer: server-sent events, one JSON object each, the last of which carries the finish reason.
 *
 * <p>Created for each run; called by one thread at a time, except {@link #detach()}.
 */
final class EngineStreamReader implements AsyncHandler<@Nullable Void> {
    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final String DATA_PREFIX = "data:";
    /** A token's event is far shorter; an engine in trouble may send a line without end. */
    private static final int MAX_LINE_BYTES = 256 * 1024;

    private static final int MAX_DETAIL_CHARS = 500;

    private final String source;
    private final EngineAnswer answer;
    private final EarlyClose earlyClose = new EarlyClose();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private volatile boolean detached;
    private volatile boolean sent;
    private int status;

    EngineStreamReader(String source, EngineAnswer answer) {
        this.source = source;
        this.answer = answer;
    }

    /** Fails the run if its connection is closed before the request was written on it. */
    void watch(ListenableFuture<@Nullable Void> call) {
        earlyClose.watch(call);
    }

    void detach() {
        detached = true;
        ended.set(true);
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress remote, Channel connection) {
        earlyClose.onConnected(remote, connection);
    }

    @Override
    public void onRequestSend(NettyRequest request) {
        sent = true;
    }

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
        status = responseStatus.getStatusCode();
        return detached ? State.ABORT : State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        return detached ? State.ABORT : State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        for (byte b : part.getBodyPartBytes()) {
            if (b == '\n') {
                readLine();
            } else if (b != '\r') {
                line.write(b);
            }
        }
        if (line.size() > MAX_LINE_BYTES) {
            fail(ResultCode.UPSTREAM_LOST, "a line is longer than " + MAX_LINE_BYTES + " bytes");
            return State.ABORT;
        }
        return detached ? State.ABORT : State.CONTINUE;
    }

    @Override
    public void onThrowable(Throwable t) {
        boolean neverSent = !sent && (t instanceof ConnectException || earlyClose.isFound());
        fail(neverSent ? ResultCode.UPSTREAM_UNREACHABLE : ResultCode.UPSTREAM_LOST, String.valueOf(t));
    }

    @Override
    public @Nullable Void onCompleted() {
        if (status == STATUS_CONFLICT || status == STATUS_UNAVAILABLE || status == STATUS_BAD_REQUEST) {
            fail(ResultCode.UPSTREAM_REFUSED, "HTTP status " + status + " " + firstChars());
        } else {
            fail(ResultCode.UPSTREAM_LOST, "the answer ended without a finish reason, HTTP status " + status);
        }
        return null;
    }

    private String firstChars() {
        String text = line.toString(StandardCharsets.UTF_8);
        return text.substring(0, Math.min(text.length(), MAX_DETAIL_CHARS));
    }

    private void readLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (status != STATUS_OK || !text.startsWith(DATA_PREFIX) || ended.get()) {
            return;
        }
        try {
            readEvent(HttpModelEngine.MAPPER.readTree(text.substring(DATA_PREFIX.length())));
        } catch (JsonProcessingException e) {
            fail(ResultCode.UPSTREAM_LOST, "an event is not JSON");
        }
    }

    private void readEvent(JsonNode event) {
        if (event.path("finishReason").isTextual()) {
            if (ended.compareAndSet(false, true)) {
                answer.onEnd(
                        event.path("finishReason").asText(),
                        event.path("promptTokens").asInt(),
                        event.path("generatedTokens").asInt());
            }
            return;
        }
        answer.onToken(event.path("index").asLong(), event.path("text").asText());
    }

    private void fail(ResultCode code, String detail) {
        if (ended.compareAndSet(false, true)) {
            answer.onFailure(new UpstreamException(code, detail, Location.of(source)));
        }
    }
}
