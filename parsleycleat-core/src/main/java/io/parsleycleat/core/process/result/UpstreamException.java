package io.parsleycleat.core.process.result;

/** A failure of an upstream. */
public final class UpstreamException extends ParsleycleatException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception about the upstream at a location. */
    public UpstreamException(ResultCode code, String detail, Location location) {
        super(code, detail, location);
    }
}
