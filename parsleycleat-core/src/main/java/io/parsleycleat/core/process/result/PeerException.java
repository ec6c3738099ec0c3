package io.parsleycleat.core.process.result;

/** A failure to reach another process of the fleet, or that process's own failure. */
public final class PeerException extends ParsleycleatException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception about the peer at an address. */
    public PeerException(ResultCode code, String detail, String address) {
        super(code, detail, Location.of(address));
    }
}
