package io.parsleycleat.gateway.connection.upstream;

import com.google.protobuf.ByteString;

/**
 * Receives one response of an upstream, on the connection's event loop. The last call is either {@link #onEnd} or
 * {@link #onFailure}; after a cancellation there may be neither.
 */
public interface ResponseListener {
    /** Receives the status and the headers. */
    void onHead(ResponseHead head);

    /** Receives the next part of the body. */
    void onBody(ByteString part);

    /** Called when the response is complete. */
    void onEnd();

    /** Called when the response is missing or incomplete. */
    void onFailure(SendFailure failure);
}
