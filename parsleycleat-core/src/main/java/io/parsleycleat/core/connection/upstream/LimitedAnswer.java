package io.parsleycleat.core.connection.upstream;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.parsleycleat.core.connection.body.PartBuffer;
import io.parsleycleat.core.process.result.Failures;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.Request;
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.EagerResponseBodyPart;
import org.asynchttpclient.uri.Uri;

/**
 * Collects an answer up to a size, and up to a number of parts, since a server in trouble may send bytes without end,
 * also one by one, each of which costs time and memory of its own. A call that gets no answer in
 * time also closes the idle connections to its server.
 *
 * <p>Created for each call; used by the client's threads one after the other.
 */
public final class LimitedAnswer implements AsyncHandler<Response> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Parts that any answer may have. */
    private static final int MIN_MAX_PARTS = 1_024;
    /** Mean size that the parts of a long answer have at least. */
    private static final int MIN_MEAN_PART_BYTES = 256;

    private final EarlyClose earlyClose = new EarlyClose();
    private final Response.ResponseBuilder response = new Response.ResponseBuilder();
    private final PartBuffer body = new PartBuffer();
    private final long maxBytes;
    private int parts;
    private volatile boolean onKeptConnection;

    private LimitedAnswer(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Sends a request; the call fails, and its connection is closed, when the answer's body is above a size, or comes
     * in very many small parts.
     */
    public static CompletableFuture<Response> of(AsyncHttpClient http, Request request, long maxBytes) {
        LimitedAnswer answer = new LimitedAnswer(maxBytes);
        return answer.earlyClose
                .watch(http.executeRequest(request, answer))
                .toCompletableFuture()
                .whenComplete((response, failure) -> {
                    if (failure != null && Failures.unwrap(failure) instanceof TimeoutException) {
                        answer.onTimeout(http, request.getUri());
                    }
                });
    }

    /**
     * Closes the idle connections to the server of a call that got no answer. What lost the connection of that call
     * without a sign may have lost these too, and each of them would cost a further call.
     */
    private void onTimeout(AsyncHttpClient http, Uri server) {
        logger.atInfo().log(
                "no answer from %s in time, on a %s connection", server.getHost(), onKeptConnection ? "kept" : "new");
        http.flushChannelPoolPartitions(partition -> partition.equals(server.getBaseUrl()));
    }

    @Override
    public void onConnectionPooled(Channel connection) {
        onKeptConnection = true;
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress remote, Channel connection) {
        earlyClose.onConnected(remote, connection);
    }

    @Override
    public State onStatusReceived(HttpResponseStatus status) {
        response.reset();
        response.accumulate(status);
        body.clear();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        response.accumulate(headers);
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) throws IOException {
        parts++;
        if (body.size() + part.length() > maxBytes) {
            throw new IOException("an answer above " + maxBytes + " bytes");
        }
        if (parts > MIN_MAX_PARTS + body.size() / MIN_MEAN_PART_BYTES) {
            throw new IOException("an answer whose first " + body.size() + " bytes came in " + parts + " parts");
        }
        body.append(Unpooled.wrappedBuffer(part.getBodyPartBytes()));
        return State.CONTINUE;
    }

    @Override
    public void onThrowable(Throwable failure) {
        logger.atFine().withCause(failure).log("a call failed");
    }

    @Override
    public Response onCompleted() {
        ByteBuf whole =
                Unpooled.wrappedBuffer(body.drain().asReadOnlyByteBufferList().toArray(ByteBuffer[]::new));
        response.accumulate(new EagerResponseBodyPart(whole, true));
        return response.build();
    }
}
