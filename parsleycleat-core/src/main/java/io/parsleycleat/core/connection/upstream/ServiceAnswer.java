package io.parsleycleat.core.connection.upstream;

import io.parsleycleat.core.process.result.UpstreamException;
import java.util.List;
import java.util.Map;

/**
 * Takes a plain service's answer as it arrives.
 *
 * <p>Created for each run; called by one thread at a time.
 */
public interface ServiceAnswer {
    /** Called once, before the body. */
    void onHead(int status, List<Map.Entry<String, String>> headers);

    /** Called for each part of the body. */
    void onBody(byte[] part);

    /** Called once when the answer is whole. */
    void onEnd();

    /** Called once when the answer breaks off. The code's class tells whether the request may have run. */
    void onFailure(UpstreamException failure);
}
