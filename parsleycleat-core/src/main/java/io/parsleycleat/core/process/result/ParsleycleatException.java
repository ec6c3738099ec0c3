package io.parsleycleat.core.process.result;

/** The root of all exceptions of this library; carries a result code and a location. */
public class ParsleycleatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;
    private final transient Location location;

    /** Creates an exception without a cause. */
    public ParsleycleatException(ResultCode code, String detail, Location location) {
        super(describe(code, detail, location));
        this.code = code;
        this.location = location;
    }

    /** Creates an exception with a cause. */
    public ParsleycleatException(ResultCode code, String detail, Location location, Throwable cause) {
        super(describe(code, detail, location), cause);
        this.code = code;
        this.location = location;
    }

    /** Returns the numbered result. */
    public ResultCode code() {
        return code;
    }

    /** Returns where the problem was found. */
    public Location location() {
        return location;
    }

    private static String describe(ResultCode code, String detail, Location location) {
        String place = location.equals(Location.NONE) ? "" : " [" + location + "]";
        return code.number() + " " + code.name() + ": " + detail + place;
    }
}
