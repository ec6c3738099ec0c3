package io.parsleycleat.core.process.result;

/** Says what a result tells about the request that it answers. */
public enum ResultClass {
    /** The request ran and its answer is whole. */
    DONE("done"),
    /** The request certainly did not run. */
    NOT_RUN("not run"),
    /** The request may have run, in part or as a whole. */
    MAY_HAVE_RUN("may have run"),
    /** The result is about settings or an operator's call, not about a caller's request. */
    CONFIGURATION("configuration"),
    /** The result is about the platform or another process and reaches no caller. */
    INTERNAL("internal");

    private final String label;

    ResultClass(String label) {
        this.label = label;
    }

    /** Returns the name that callers and documents use. */
    public String label() {
        return label;
    }
}
