package io.parsleycleat.core.process.result;

/** A refusal on its way through asynchronous code. */
public final class RequestException extends ParsleycleatException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /** Creates an exception that carries the refusal. */
    public RequestException(Refusal refusal) {
        super(refusal.code(), refusal.detail(), Location.NONE);
        this.refusal = refusal;
    }

    /** Returns the refusal. */
    public Refusal refusal() {
        return refusal;
    }
}
