package io.parsleycleat.gateway.connection.upstream;

import com.google.protobuf.ByteString;

/** Takes one answer of an upstream, on the connection's event loop. One of the last two methods is called last. */
public interface ResponseListener {
    /** Takes status and headers. */
    void onHead(ResponseHead head);

    /** Takes a part of the body. */
    void onBody(ByteString part);

    /** The answer is whole. */
    void onEnd();

    /** The answer will not be whole. */
    void onFailure(SendFailure failure);
}
