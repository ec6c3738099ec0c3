package io.parsleycleat.core.connection.upstream;

import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.Request;
import org.asynchttpclient.Response;

/**
 * Collects an answer up to a size, since a server in trouble may send bytes without end.
 *
 * <p>Created for each call; used by the client's threads one after the other.
 */
public final class LimitedAnswer extends AsyncCompletionHandlerBase {
    private final EarlyClose earlyClose = new EarlyClose();
    private final long maxBytes;
    private long bytes;

    private LimitedAnswer(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Sends a request; the call fails, and its connection is closed, when the answer's body is above a size. */
    public static CompletableFuture<Response> of(AsyncHttpClient http, Request request, long maxBytes) {
        LimitedAnswer answer = new LimitedAnswer(maxBytes);
        return answer.earlyClose.watch(http.executeRequest(request, answer)).toCompletableFuture();
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
