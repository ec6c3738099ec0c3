package io.parsleycleat.gateway.request.limits;

/**
 * The limit that an upstream names for the requests that it takes from all entries together. Immutable.
 *
 * <p>Decoded from the head of an answer, and passed on between entries and sides.
 *
 * @param requestsPerSecond zero or more; not a number if the upstream names a limit that cannot be read
 */
public record RequestLimit(double requestsPerSecond) {
    /** A limit that cannot be read, which says neither that there is a limit nor that there is none. */
    public static final RequestLimit UNREADABLE = new RequestLimit(Double.NaN);
    /** Cuts absurdly high limits, so that calculations with them stay finite. */
    private static final double MAX_REQUESTS_PER_SECOND = 1_000_000;

    public RequestLimit {
        if (requestsPerSecond < 0) {
            throw new IllegalArgumentException("negative limit: " + requestsPerSecond);
        }
        requestsPerSecond = Math.min(requestsPerSecond, MAX_REQUESTS_PER_SECOND);
    }

    /** Returns the limit of a number that came from outside; a negative one cannot be read. */
    public static RequestLimit of(double requestsPerSecond) {
        return requestsPerSecond >= 0 ? new RequestLimit(requestsPerSecond) : UNREADABLE;
    }

    /** Returns whether the limit could be read. */
    public boolean isReadable() {
        return !Double.isNaN(requestsPerSecond);
    }
}
