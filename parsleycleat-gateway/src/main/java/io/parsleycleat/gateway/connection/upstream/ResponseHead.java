package io.parsleycleat.gateway.connection.upstream;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Status and headers of an upstream's response. Immutable.
 *
 * @param bodyEndsAtClose whether the body has neither a length nor chunks, so that it ends with its connection
 * @param connectionReused whether the connection carried another request before, to which this might belong
 */
public record ResponseHead(
        int status, List<Map.Entry<String, String>> headers, boolean bodyEndsAtClose, boolean connectionReused) {
    private static final int STATUS_OK = 200;
    private static final int STATUS_MULTIPLE_CHOICES = 300;

    public ResponseHead {
        headers = List.copyOf(headers);
    }

    /** Creates the head of a response on a new connection, whose end does not depend on the connection. */
    public ResponseHead(int status, List<Map.Entry<String, String>> headers) {
        this(status, headers, false, false);
    }

    /** Returns the value of the first header with this name, which is compared without regard to case. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(h -> h.getKey().equalsIgnoreCase(name))
                .map(Map.Entry::getValue)
                .findFirst();
    }

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES;
    }
}
