package io.parsleycleat.core.connection.caller;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;

/**
 * Takes the answer to one caller's request.
 *
 * <p>Created by the server for each request; safe to share between threads. Calls after the end have no effect.
 */
public interface CallerExchange {
    /** Sends a whole answer. */
    void respond(int status, List<Map.Entry<String, String>> headers, ByteString body);

    /** Starts an answer whose body follows in parts. */
    void start(int status, List<Map.Entry<String, String>> headers);

    /** Sends a part of the body and calls back when it has left memory. */
    void write(ByteString part, Runnable written);

    /** Ends an answer that is whole. */
    void end();

    /** Breaks an answer off so that the caller sees that it is not whole. */
    void abort();

    /** Runs an action when the caller leaves before the answer's end; at once when it has left already. */
    void onGone(Runnable action);
}
