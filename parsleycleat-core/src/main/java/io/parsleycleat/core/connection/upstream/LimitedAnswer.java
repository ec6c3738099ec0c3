package io.parsleycleat.core.connection.upstream;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.parsleycleat.core.process.result.Failures;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.Request;
import org.asynchttpclient.Response;
import org.asynchttpclient.uri.Uri;

/**
 * Collects an answer up to a size, since a server in trouble may send bytes without end. A call that gets no answer in
 * time also closes the idle connections to its server.
 *
 * <p>Created for each call; used by the client's threads one after the other.
 */
public final class LimitedAnswer extends AsyncCompletionHandlerBase {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final EarlyClose earlyClose = new EarlyClose();
    private final long maxBytes;
    private long bytes;
    private volatile boolean onKeptConnection;

    private LimitedAnswer(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Sends a request; the call fails, and its connection is closed, when the answer's body is above a size. */
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
    public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
        bytes += part.length();
        if (bytes > maxBytes) {
            throw new IOException("an answer above " + maxBytes + " bytes");
        }
        return super.onBodyPartReceived(part);
    }
}
