package io.parsleycleat.core.connection.upstream;

import java.io.IOException;
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
    private final long maxBytes;
    private long bytes;

    private LimitedAnswer(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Sends a request; the call fails, and its connection is closed, when the answer's body is above a size. */
    public static CompletableFuture<Response> of(AsyncHttpClient http, Request request, long maxBytes) {
        return http.executeRequest(request, new LimitedAnswer(maxBytes)).toCompletableFuture();
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
