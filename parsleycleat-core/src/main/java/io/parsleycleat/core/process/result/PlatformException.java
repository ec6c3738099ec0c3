package io.parsleycleat.core.process.result;

/** A failure of the platform's log, weight store or VM list. The effect of a failed call is unknown. */
public final class PlatformException extends ParsleycleatException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception about the service at the location. */
    public PlatformException(ResultCode code, String detail, Location location) {
        super(code, detail, location);
    }
}
